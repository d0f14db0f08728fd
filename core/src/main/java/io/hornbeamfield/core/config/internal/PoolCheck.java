package io.hornbeamfield.core.config.internal;

import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.core.config.Server;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Validates pools and their backend servers. */
public final class PoolCheck {
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,99}");
    private static final Pattern CALL_PREFIX = Pattern.compile("(GET|HEAD|POST|PUT|PATCH|DELETE) /\\S*");
    private static final long MAX_TOKENS_PER_CALL = 1_000_000_000L;

    private PoolCheck() {}

    /** Validates one pool. */
    public static void check(String name, Pool pool, ErrorList errors) {
        String path = "pools." + name;
        errors.requireId(path, name);
        if (pool.kind() == PoolKind.MODEL) {
            checkModelPool(path, pool, errors);
        } else {
            checkServicePool(path, pool, errors);
        }
        new TreeMap<>(pool.servers()).forEach((id, server) -> checkServer(path + ".servers." + id, id, server, errors));
    }

    private static void checkModelPool(String path, Pool pool, ErrorList errors) {
        if (pool.models().isEmpty()) {
            errors.add(path + ".models", "is empty. A pool of kind model names at least one model.");
        }
        if (!pool.nonRepeatable().isEmpty()) {
            errors.add(path + ".nonRepeatable", "must be empty: calls to a model are repeatable. Use [].");
        }
        if (pool.tokensPerCall() != 0) {
            errors.add(path + ".tokensPerCall", "must be 0: a model reports the tokens of each call. Use 0.");
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < pool.models().size(); i++) {
            String model = pool.models().get(i);
            if (!MODEL.matcher(model).matches()) {
                errors.add(
                        path + ".models[" + i + "]",
                        "is \"" + model + "\". Use 1 to 100 letters, digits and the characters . _ : / -");
            } else if (!seen.add(model)) {
                errors.add(path + ".models[" + i + "]", "duplicates \"" + model + "\". List each model once.");
            }
        }
    }

    private static void checkServicePool(String path, Pool pool, ErrorList errors) {
        if (!pool.models().isEmpty()) {
            errors.add(path + ".models", "must be empty in a pool of kind service. Use [] or the kind model.");
        }
        errors.requireRange(path + ".tokensPerCall", pool.tokensPerCall(), 0, MAX_TOKENS_PER_CALL);
        for (int i = 0; i < pool.nonRepeatable().size(); i++) {
            String call = pool.nonRepeatable().get(i);
            if (!CALL_PREFIX.matcher(call).matches()) {
                errors.add(
                        path + ".nonRepeatable[" + i + "]",
                        "is \"" + call + "\". Use a method and a path prefix, for example \"POST /orders\".");
            }
        }
    }

    private static void checkServer(String path, String id, Server server, ErrorList errors) {
        errors.requireId(path, id);
        if (!isAddress(server.address())) {
            errors.add(
                    path + ".address",
                    "is \"" + server.address() + "\". Use ip:port with an IPv4 address, for example 10.0.3.17:8000.");
        }
        if (server.zone().isBlank()) {
            errors.add(path + ".zone", "is empty. Name the availability zone of the server.");
        }
    }

    private static boolean isAddress(String address) {
        Matcher m = ADDRESS.matcher(address);
        if (!m.matches()) {
            return false;
        }
        for (int i = 1; i <= 4; i++) {
            if (Integer.parseInt(m.group(i)) > 255) {
                return false;
            }
        }
        int port = Integer.parseInt(m.group(5));
        return port >= 1 && port <= 65_535;
    }

    /**
     * Checks that ids and addresses of backend servers are unique across pools, because server state and load are keyed
     * by id.
     */
    public static void checkAddresses(Map<String, Pool> pools, ErrorList errors) {
        Map<String, String> byId = new HashMap<>();
        Map<String, String> byAddress = new HashMap<>();
        new TreeMap<>(pools)
                .forEach((name, pool) -> new TreeMap<>(pool.servers()).forEach((id, server) -> {
                    String path = "pools." + name + ".servers." + id;
                    String sameId = byId.putIfAbsent(id, path);
                    if (sameId != null) {
                        errors.add(path, "has the same id as " + sameId + ". Ids must be unique across all pools.");
                    }
                    String sameAddress = byAddress.putIfAbsent(server.address(), path);
                    if (sameAddress != null) {
                        errors.add(
                                path + ".address",
                                "is " + server.address() + " as at " + sameAddress
                                        + ". Addresses must be unique across all pools.");
                    }
                }));
    }
}
