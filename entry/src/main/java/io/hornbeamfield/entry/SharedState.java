package io.hornbeamfield.entry;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.route.RouteConfig;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** State that controllers write and the traffic reads. Each value is an immutable snapshot. */
public final class SharedState {
    /**
     * Number of instances, for shares of what all use together, until their list was read; the deployments have eight
     * or more. With many more assumed, no request could be retried in the first half second.
     */
    private static final int ASSUMED_INSTANCES = 8;

    private volatile @Nullable RouteConfig config;
    private volatile @Nullable Map<String, List<BackendServer>> serversByService;
    private volatile List<Member> members = List.of();
    private volatile boolean membersKnown;
    private volatile Set<String> ledgerWriters = Set.of();
    private volatile boolean stopping;

    /**
     * Another instance or this one.
     *
     * @param name name of the instance
     * @param zone availability zone
     * @param callerAddress where callers connect
     * @param readinessAddress where it says whether it takes requests
     * @param peerAddress where other instances connect
     * @param processors processors that the instance may use
     */
    public record Member(
            String name,
            String zone,
            String callerAddress,
            String readinessAddress,
            String peerAddress,
            int processors) {}

    /** Returns the configuration in force, once one is known. */
    public Optional<RouteConfig> config() {
        return Optional.ofNullable(config);
    }

    /** Puts a configuration in force. */
    public void config(RouteConfig next) {
        config = next;
    }

    /** Returns the servers of a service that take new requests. */
    public List<BackendServer> servers(String service) {
        Map<String, List<BackendServer>> known = serversByService;
        return known == null ? List.of() : known.getOrDefault(service, List.of());
    }

    /** Returns whether the list of servers was read. */
    public boolean serversKnown() {
        return serversByService != null;
    }

    /** Takes over the usable servers by service. */
    public void servers(Map<String, List<BackendServer>> next) {
        serversByService = Map.copyOf(next);
    }

    /** Returns the instances that take requests, this one included. */
    public List<Member> members() {
        return members;
    }

    /** Takes over the instances that take requests, once their list was read. */
    public void members(List<Member> next) {
        members = List.copyOf(next);
        membersKnown = true;
    }

    /** Takes over this instance, before the list of instances was read. */
    public void self(Member self) {
        members = List.of(self);
    }

    /** Returns the number of instances that take requests, or an assumption until their list was read. */
    public int instanceCount() {
        return membersKnown ? Math.max(1, members.size()) : ASSUMED_INSTANCES;
    }

    /** Takes over the names of the instances that hold parts of prepaid totals. */
    public void ledgerWriters(Set<String> names) {
        ledgerWriters = Set.copyOf(names);
    }

    /** Returns whether an instance holds parts of prepaid totals; nobody is known to before the list was read. */
    public boolean isLedgerWriter(String name) {
        return ledgerWriters.contains(name);
    }

    /** Returns the number of instances that hold parts of prepaid totals. */
    public int ledgerWriterCount() {
        return ledgerWriters.isEmpty() ? ASSUMED_INSTANCES : ledgerWriters.size();
    }

    /** Returns whether this instance is shutting down. */
    public boolean stopping() {
        return stopping;
    }

    /** Records that this instance is shutting down. */
    public void markStopping() {
        stopping = true;
    }

    /** Returns whether this instance can serve requests. */
    public boolean ready() {
        return !stopping && config != null && serversByService != null;
    }
}
