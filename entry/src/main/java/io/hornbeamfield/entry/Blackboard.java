package io.hornbeamfield.entry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import io.hornbeamfield.core.admission.ShutdownStage;
import io.hornbeamfield.core.discovery.AddressSelection;
import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.discovery.ZoneEvacuations;
import io.hornbeamfield.core.quarantine.Quarantine;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.stream.ServiceVersion;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** State published by the controllers and read by request handling. Each value is an immutable snapshot. */
public final class Blackboard {
    /**
     * Number of instances assumed for dividing shared limits until the list of instances has been read. Deployments
     * have eight or more. Assuming many more would prevent retries during the first half second.
     */
    private static final int ASSUMED_INSTANCES = 8;

    private volatile @Nullable RouteConfig config;
    private volatile long configConfirmedMs;
    private volatile @Nullable Map<String, List<BackendServer>> serversByService;
    private volatile Map<String, List<BackendServer>> usableByService = Map.of();
    private volatile Map<String, Long> evacuatedSinceMs = Map.of();
    private volatile boolean evacuationsKnown = true;
    private volatile List<Member> members = List.of();
    private volatile Predicate<String> mayBeNamed = name -> true;
    private volatile boolean membersKnown;
    private volatile Set<String> ledgerWriters = Set.of();
    private volatile Quarantine quarantine = Quarantine.none();
    private volatile boolean crashesKnown;
    private volatile @Nullable Map<String, Set<String>> streamVersions;
    private volatile Supplier<ShutdownStage> shutdownStage = () -> ShutdownStage.RUNNING;
    private volatile BooleanSupplier callerShedding = () -> false;

    /**
     * An instance of the fleet.
     *
     * @param name name of the instance
     * @param zone availability zone
     * @param callerAddress address for requests of callers
     * @param readinessAddress address for readiness checks
     * @param peerAddress address for connections of other instances
     * @param processors number of processors available to the instance
     * @param processingCapacity processing capacity in standard cores; 0 if unknown, as for an older version
     * @param linkMbps bandwidth of its link; 0 if unknown
     * @param remembersStreams whether it can be told and asked which versions began streams; false for an older version
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Member(
            String name,
            String zone,
            String callerAddress,
            String readinessAddress,
            String peerAddress,
            int processors,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) double processingCapacity,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) double linkMbps,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean remembersStreams) {

        /** Creates a member that remembers no streams. */
        public Member(
                String name,
                String zone,
                String callerAddress,
                String readinessAddress,
                String peerAddress,
                int processors,
                double processingCapacity,
                double linkMbps) {
            this(
                    name,
                    zone,
                    callerAddress,
                    readinessAddress,
                    peerAddress,
                    processors,
                    processingCapacity,
                    linkMbps,
                    false);
        }

        /** Creates a member whose capacity is unknown. */
        public Member(
                String name,
                String zone,
                String callerAddress,
                String readinessAddress,
                String peerAddress,
                int processors) {
            this(name, zone, callerAddress, readinessAddress, peerAddress, processors, 0, 0);
        }

        /** Returns the processing capacity; the number of processors if none is declared. */
        public double capacity() {
            return processingCapacity > 0 ? processingCapacity : processors;
        }

        /** Returns a copy with the capacity of a deployment's settings. */
        public Member withCapacity(DeploymentSettings d) {
            return new Member(
                    name,
                    zone,
                    callerAddress,
                    readinessAddress,
                    peerAddress,
                    processors,
                    d.processingCapacity(),
                    d.linkMbps(),
                    remembersStreams);
        }

        /** Returns a copy that remembers streams. */
        public Member rememberingStreams() {
            return new Member(
                    name,
                    zone,
                    callerAddress,
                    readinessAddress,
                    peerAddress,
                    processors,
                    processingCapacity,
                    linkMbps,
                    true);
        }

        /** Returns what the selection of addresses needs to know. */
        public AddressSelection.Instance instance() {
            return new AddressSelection.Instance(name, zone, processingCapacity, linkMbps);
        }
    }

    /** Returns the active configuration; empty until one has been read. */
    public Optional<RouteConfig> config() {
        return Optional.ofNullable(config);
    }

    /** Sets the active configuration. */
    public void config(RouteConfig next) {
        config = next;
    }

    /** Returns whether callers authenticate with keys; true until a configuration has been read. */
    public boolean keysRequired() {
        return config().map(RouteConfig::keysRequired).orElse(true);
    }

    /** Returns the time of which the store last confirmed the configuration, by this process's clock; 0 if never. */
    public long configConfirmedMs() {
        return configConfirmedMs;
    }

    /** Records that the store has confirmed that the configuration was the current one at a time. */
    public void configConfirmed(long timeMs) {
        configConfirmedMs = timeMs;
    }

    /** Returns the servers of a service that accept new requests and are outside the evacuated zones. */
    public List<BackendServer> servers(String service) {
        return usableByService.getOrDefault(service, List.of());
    }

    /** Returns the servers of a service that accept new requests, also those in evacuated zones. */
    public List<BackendServer> registeredServers(String service) {
        Map<String, List<BackendServer>> known = serversByService;
        return known == null ? List.of() : known.getOrDefault(service, List.of());
    }

    /** Returns whether a registered server that accepts new requests, or this fleet's instance, is in a zone. */
    public boolean isKnownZone(String zone) {
        Map<String, List<BackendServer>> known = serversByService;
        return members.stream().anyMatch(m -> m.zone().equals(zone))
                || known != null
                        && known.values().stream()
                                .flatMap(List::stream)
                                .anyMatch(s -> s.zone().equals(zone));
    }

    /** Returns whether the list of servers has been read. */
    public boolean serversKnown() {
        return serversByService != null;
    }

    /** Sets the servers that accept new requests, by service. */
    public synchronized void servers(Map<String, List<BackendServer>> next) {
        Map<String, List<BackendServer>> copy = Map.copyOf(next);
        usableByService = ZoneEvacuations.usable(copy, evacuatedSinceMs.keySet());
        serversByService = copy;
    }

    /** Returns the availability zones whose servers must not be sent anything. */
    public Set<String> evacuatedZones() {
        return evacuatedSinceMs.keySet();
    }

    /** Returns the evacuated zones, each with the time at which this instance learned of its evacuation. */
    public Map<String, Long> evacuatedSinceMs() {
        return evacuatedSinceMs;
    }

    /** Returns whether the evacuated zones have been read, or no zone is evacuated in this deployment. */
    public boolean evacuationsKnown() {
        return evacuationsKnown;
    }

    /** Records that this deployment evacuates zones, so that this instance is not ready until they have been read. */
    public void awaitEvacuations() {
        evacuationsKnown = false;
    }

    /** Sets the evacuated zones, each with the time at which this instance learned of its evacuation. */
    public synchronized void evacuatedZones(Map<String, Long> sinceMs) {
        evacuatedSinceMs = Map.copyOf(sinceMs);
        Map<String, List<BackendServer>> known = serversByService;
        if (known != null) {
            usableByService = ZoneEvacuations.usable(known, evacuatedSinceMs.keySet());
        }
        evacuationsKnown = true;
    }

    /** Returns the instances that accept requests, including this one. */
    public List<Member> members() {
        return members;
    }

    /** Returns the instances that may be named to callers, including this one. */
    public List<Member> namedMembers() {
        return members.stream().filter(m -> mayBeNamed.test(m.name())).toList();
    }

    /** Sets the decision whether an instance may be named to callers, which is made at each lookup. */
    public void mayBeNamed(Predicate<String> decision) {
        mayBeNamed = decision;
    }

    /** Sets the instances that accept requests, as read from their list. */
    public void members(List<Member> next) {
        members = List.copyOf(next);
        membersKnown = true;
    }

    /** Returns whether the list of instances has been read. */
    public boolean membersKnown() {
        return membersKnown;
    }

    /** Sets this instance as the only known member until the list of instances has been read. */
    public void self(Member self) {
        members = List.of(self);
    }

    /** Returns the number of instances that accept requests, or an assumed number until their list has been read. */
    public int instanceCount() {
        return membersKnown ? Math.max(1, members.size()) : ASSUMED_INSTANCES;
    }

    /** Sets the names of the instances that hold parts of prepaid totals. */
    public void ledgerWriters(Set<String> names) {
        ledgerWriters = Set.copyOf(names);
    }

    /** Returns whether an instance holds parts of prepaid totals; false until the list of instances has been read. */
    public boolean isLedgerWriter(String name) {
        return ledgerWriters.contains(name);
    }

    /** Returns the number of instances that hold parts of prepaid totals, or an assumed number while unknown. */
    public int ledgerWriterCount() {
        return ledgerWriters.isEmpty() ? ASSUMED_INSTANCES : ledgerWriters.size();
    }

    /** Returns whether some instances hold no parts of prepaid totals and are supplied by those that do. */
    public boolean hasInstancesWithoutHoldings() {
        return !ledgerWriters.isEmpty() && ledgerWriters.size() < instanceCount();
    }

    /** Returns the parts of prompts that crash servers. */
    public Quarantine quarantine() {
        return quarantine;
    }

    /** Sets the versions whose servers may begin streams that are resumed. */
    public void streamVersions(Set<ServiceVersion> next) {
        Map<String, Set<String>> byService = new HashMap<>();
        next.forEach(v ->
                byService.computeIfAbsent(v.service(), s -> new HashSet<>()).add(v.version()));
        streamVersions = byService;
    }

    /** Returns whether the versions whose servers may begin streams have been read. */
    public boolean streamVersionsKnown() {
        return streamVersions != null;
    }

    /** Returns whether a server may begin a stream that is resumed. */
    public boolean mayBeginStream(BackendServer server) {
        Map<String, Set<String>> known = streamVersions;
        return known != null && known.getOrDefault(server.service(), Set.of()).contains(server.version());
    }

    /** Returns whether the crashes that other instances have seen have been read. */
    public boolean crashesKnown() {
        return crashesKnown;
    }

    /** Records that the crashes that other instances have seen have been read. */
    public void markCrashesKnown() {
        crashesKnown = true;
    }

    /** Sets the parts of prompts that crash servers. */
    public void quarantine(Quarantine next) {
        quarantine = next;
    }

    /** Returns whether this instance is shutting down. */
    public boolean stopping() {
        return shutdownStage().isAtLeast(ShutdownStage.ACCEPTING);
    }

    /** Returns how far the shutdown of this instance has come. */
    public ShutdownStage shutdownStage() {
        return shutdownStage.get();
    }

    /** Sets the source of how far the shutdown of this instance has come, which is read at each decision. */
    public void shutdownStage(Supplier<ShutdownStage> next) {
        shutdownStage = next;
    }

    /** Returns whether the connection of the present request is closed after its response to reduce the load. */
    public boolean shedsCaller() {
        return callerShedding.getAsBoolean();
    }

    /** Sets the decision whether a connection is closed to reduce the load, which is made once for each request. */
    public void callerShedding(BooleanSupplier next) {
        callerShedding = next;
    }

    /** Returns whether this instance is ready to serve requests. */
    public boolean ready() {
        return !stopping()
                && config != null
                && serversByService != null
                && crashesKnown
                && streamVersions != null
                && evacuationsKnown;
    }
}
