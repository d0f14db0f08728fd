package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.ServerState;
import java.util.List;
import java.util.Set;

/**
 * The properties of a request that the selection of a backend server depends on. The model is empty for plain services;
 * the excluded servers are those that a retry must avoid.
 */
public record BackendRequest(String model, List<PromptPrefix> prefixes, Set<String> excludedServers) {
    public BackendRequest {
        prefixes = List.copyOf(prefixes);
        excludedServers = Set.copyOf(excludedServers);
    }

    /** Returns a request for a model. */
    public static BackendRequest forModel(String model, List<PromptPrefix> prefixes) {
        return new BackendRequest(model, prefixes, Set.of());
    }

    /** Returns a request for a plain service. */
    public static BackendRequest forService() {
        return new BackendRequest("", List.of(), Set.of());
    }

    /** Returns a copy of this request that excludes the given servers. */
    public BackendRequest excluding(Set<String> servers) {
        return new BackendRequest(model, prefixes, servers);
    }

    /** Returns the length of the whole prompt in bytes. */
    public long promptBytes() {
        return prefixes.isEmpty() ? 0 : prefixes.get(prefixes.size() - 1).bytes();
    }

    /** Returns whether a server can serve this request. */
    public boolean accepts(BackendView view) {
        return view.state() == ServerState.LIVE
                && !view.suspended()
                && !excludedServers.contains(view.id())
                && (model.isEmpty() || view.models().contains(model));
    }
}
