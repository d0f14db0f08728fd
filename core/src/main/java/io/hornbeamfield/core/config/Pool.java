package io.hornbeamfield.core.config;

import java.util.List;
import java.util.Map;

/**
 * A pool of backend servers, keyed by server id. Each element of {@code nonRepeatable} is a method and a path prefix,
 * for example {@code POST /orders}.
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

    /** Returns whether a call to this pool may be retried when its outcome is unknown. */
    public boolean isRepeatable(String method, String path) {
        return kind == PoolKind.MODEL
                || nonRepeatable.stream().noneMatch(call -> (method + " " + path).startsWith(call));
    }
}
