package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.peer.PeerIdentity;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.router.Blackboard;
import io.hornbeamfield.router.control.ControlLoop;
import java.time.Instant;

/** The dependencies that all controllers share. */
record ControlContext(
        ControlLoop loop, PlatformClient platform, Blackboard blackboard, Metrics metrics, PeerIdentity identity) {

    Instant now() {
        return loop.now();
    }

    String incarnation() {
        return identity.incarnation();
    }

    void count(String metric) {
        metrics.counter("control." + metric).inc();
    }
}
