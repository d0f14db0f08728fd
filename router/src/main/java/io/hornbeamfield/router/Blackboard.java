package io.hornbeamfield.router;

import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.quarantine.Quarantine;
import io.hornbeamfield.core.routing.RouterInfo;
import java.util.List;
import java.util.Optional;

/**
 * State that controllers write on the control thread and that all threads read.
 *
 * <pre>{@code
 * blackboard.config().ifPresent(c -> limit(c.preset().maxConcurrent()));
 * }</pre>
 */
public final class Blackboard {
    private volatile Optional<ConfigSnapshot> config = Optional.empty();
    private volatile List<RouterInfo> routers = List.of();
    private volatile ServerState ownState = ServerState.LIVE;
    private volatile Quarantine quarantine = Quarantine.none();
    private volatile boolean configStale;
    private volatile boolean refusingNewWork;

    /** Returns the adopted configuration, empty until the router may serve. */
    public Optional<ConfigSnapshot> config() {
        return config;
    }

    /** Publishes an adopted configuration. */
    public void publishConfig(ConfigSnapshot snapshot) {
        config = Optional.of(snapshot);
    }

    /** Returns all known routers, this one included. */
    public List<RouterInfo> routers() {
        return routers;
    }

    /** Publishes the known routers. */
    public void publishRouters(List<RouterInfo> list) {
        routers = List.copyOf(list);
    }

    /** Returns whether this router is live or leaving. */
    public ServerState ownState() {
        return ownState;
    }

    /** Publishes the state of this router. */
    public void publishOwnState(ServerState state) {
        ownState = state;
    }

    /** Returns the parts of prompts that crash engines. */
    public Quarantine quarantine() {
        return quarantine;
    }

    /** Publishes the parts of prompts that crash engines. */
    public void publishQuarantine(Quarantine next) {
        quarantine = next;
    }

    /** Returns whether the revision in force has not been confirmed in time. */
    public boolean configStale() {
        return configStale;
    }

    /** Publishes whether the revision in force has not been confirmed in time. */
    public void publishConfigStale(boolean stale) {
        configStale = stale;
    }

    /** Returns whether new requests are refused because this router is leaving. */
    public boolean refusingNewWork() {
        return refusingNewWork;
    }

    /** Publishes whether new requests are refused because this router is leaving. */
    public void publishRefusingNewWork(boolean refusing) {
        refusingNewWork = refusing;
    }
}
