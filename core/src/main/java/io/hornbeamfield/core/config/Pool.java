package io.hornbeamfield.core.config;

import java.util.List;
import java.util.Map;

/**
 * A pool of backend servers, by server id. Non-repeatable calls are written as method and path prefix, for example
 * {@code POST /orders}.
 */
public record Pool(
        PoolKind kind,
        List<String> models,
        long tokensPerCall,
        List<String> nonRepeatable,
        boolean checksFencing,
        Map<String, Server> servers) {

    public Pool {
        models = List.copyOf(models);
        nonRepeatable = List.copyOf(nonRepeatable);
        servers = Map.copyOf(servers);
    }

    /** Returns whether a call to this pool may be sent again when its outcome is not known. */
    public boolean isRepeatable(String method, String path) {
        return kind == PoolKind.MODEL || nonRepeatable.stream().noneMatch(r -> (method + " " + path).startsWith(r));
    }
}
