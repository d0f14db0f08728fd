package io.hornbeamfield.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Selects the backend server for a request. Implementations are thread-safe and skip servers that cannot serve it.
 *
 * <pre>{@code
 * BackendChooser chooser = BackendChoosers.prefixAware(index);
 * chooser.choose(BackendRequest.forModel("m", prefixes), load.candidates("models"));
 * }</pre>
 */
@FunctionalInterface
public interface BackendChooser {
    /** Returns the selected server, or empty if none of the given servers can serve the request. */
    Optional<BackendView> choose(BackendRequest request, List<BackendView> servers);
}
