package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.Server;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.result.ResultCode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The commands {@code drain} and {@code retire}. */
public final class ServerCommands {
    private final ConfigStore store;

    public ServerCommands(ConfigStore store) {
        this.store = store;
    }

    /** Marks a backend server as leaving, so that routers send it no new work. */
    public Output drain(String pool, String server) {
        return change(
                pool,
                server,
                "leaving",
                (servers, old) -> servers.put(server, new Server(old.address(), old.zone(), ServerState.LEAVING)));
    }

    /** Removes a drained backend server from its pool. */
    public Output retire(String pool, String server) {
        return change(pool, server, "retired", (servers, old) -> {
            if (old.state() != ServerState.LEAVING) {
                throw new CommandException(
                        ResultCode.INVALID_CONFIGURATION,
                        "Server \"" + server + "\" of pool \"" + pool + "\" is live. Run drain " + pool + " " + server
                                + " first and retire it when its work has ended.");
            }
            servers.remove(server);
        });
    }

    private Output change(
            String poolName, String serverId, String result, BiConsumer<Map<String, Server>, Server> edit) {
        StoredConfig stored = store.loadExisting();
        ConfigHead head = stored.head().orElseThrow();
        Pool pool = head.pools().get(poolName);
        if (pool == null) {
            throw new CommandException(
                    ResultCode.UNKNOWN_POOL,
                    "There is no pool \"" + poolName + "\". Use one of: "
                            + String.join(", ", new TreeMap<>(head.pools()).keySet()) + ".");
        }
        Server server = pool.servers().get(serverId);
        if (server == null) {
            throw new CommandException(
                    ResultCode.INVALID_CONFIGURATION,
                    "Pool \"" + poolName + "\" has no server \"" + serverId + "\". Use one of: "
                            + String.join(", ", new TreeMap<>(pool.servers()).keySet()) + ".");
        }
        Map<String, Server> servers = new HashMap<>(pool.servers());
        edit.accept(servers, server);
        Pool changed = new Pool(
                pool.kind(), pool.models(), pool.tokensPerCall(), pool.nonRepeatable(), pool.checksFencing(), servers);
        long revision =
                store.commit(stored, ConfigDraft.from(head, stored.workspaces()).withPool(poolName, changed));
        return Output.of(
                Map.of("revision", revision, "pool", poolName, "server", serverId, "state", result),
                List.of(
                        List.of("REVISION", "POOL", "SERVER", "STATE"),
                        List.of(Long.toString(revision), poolName, serverId, result)));
    }
}
