package io.hornbeamfield.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the backend server for a request. Implementations skip servers that cannot take it and are thread-safe.
 *
 * <pre>{@code
 * BackendChooser chooser = BackendChoosers.prefixAware(index);
 * chooser.choose(BackendRequest.forModel("m", prefixes), load.candidates("models"));
 * }</pre>
 */
@FunctionalInterface
public interface BackendChooser {
    /** Returns the chosen server, empty if none of the given ones can take the request. */
    Optional<BackendView> choose(BackendRequest request, List<BackendView> servers);
}
