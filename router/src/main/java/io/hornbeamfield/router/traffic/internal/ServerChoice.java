package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.routing.BackendView;
import java.util.Optional;
import java.util.Set;

/** Chooses the backend server for an attempt. */
@FunctionalInterface
interface ServerChoice {
    /** Returns the best server for the work, avoiding the servers already tried while another one is there. */
    Optional<BackendView> choose(Work work, Set<String> tried);
}
