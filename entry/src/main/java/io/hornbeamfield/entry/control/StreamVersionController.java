package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.stream.ServiceVersion;
import io.hornbeamfield.core.stream.VersionRecord;
import io.hornbeamfield.core.stream.VersionRegistry;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WriteResult;
import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Keeps the record of the versions whose servers may begin streams, and publishes them. */
final class StreamVersionController {
    private static final String KIND = "stream-versions";
    private static final String NAME = "record";

    private static final long RETRY_MS = 200;

    /** Spreads the reads of a large fleet, all of whose instances meet a new version at the same time. */
    private static final long LARGE_FLEET_SPREAD_MS = 200;

    private final StoreClient store;
    private final ScheduledExecutorService control;
    private final Blackboard blackboard;
    private final EventLog log;
    private final String instance;
    private final BooleanSupplier largeFleet;
    private final VersionRegistry registry;
    private Set<ServiceVersion> registered = Set.of();
    private boolean serversListed;
    private boolean recordRead;
    private boolean syncing;
    private long generation;

    StreamVersionController(
            StoreClient store,
            ScheduledExecutorService control,
            Clock clock,
            Blackboard blackboard,
            EventLog log,
            String instance,
            BooleanSupplier largeFleet) {
        this.store = store;
        this.control = control;
        this.blackboard = blackboard;
        this.log = log;
        this.instance = instance;
        this.largeFleet = largeFleet;
        this.registry = new VersionRegistry(clock);
    }

    void start() {
        sync();
    }

    /** Applies the registrations of all servers, also of those that are leaving. */
    void registered(Collection<BackendServer> servers) {
        registered = servers.stream()
                .map(s -> new ServiceVersion(s.service(), s.version()))
                .collect(Collectors.toUnmodifiableSet());
        registry.registered(registered);
        serversListed = true;
        if (registry.unrecorded().isEmpty()) {
            publish();
        } else {
            long spreadMs =
                    largeFleet.getAsBoolean() ? ThreadLocalRandom.current().nextLong(LARGE_FLEET_SPREAD_MS) : 0;
            control.schedule(this::sync, spreadMs, TimeUnit.MILLISECONDS);
        }
    }

    void storeLost() {
        registry.storeLost();
    }

    /** Writes versions again that the record may lack because the store has come back from an older copy. */
    void storeRestored() {
        noticeRestore();
        long spreadMs = largeFleet.getAsBoolean() ? ThreadLocalRandom.current().nextLong(LARGE_FLEET_SPREAD_MS) : 0;
        control.schedule(this::sync, spreadMs, TimeUnit.MILLISECONDS);
    }

    private void noticeRestore() {
        if (store.generation() != generation) {
            generation = store.generation();
            registry.storeRestored();
        }
    }

    /** Removes versions that have long had no server from the record. Called a few times per second. */
    void tick() {
        if (registry.removalDue() && isFirstInstance()) {
            sync();
        }
    }

    /** Returns whether several versions of a service may have begun streams. */
    boolean hasSeveralVersions(String service) {
        return registry.hasSeveralVersions(service);
    }

    /** Returns whether several versions of any service may have begun streams. */
    boolean hasSeveralVersions() {
        return registry.hasSeveralVersions();
    }

    /** Returns the versions of a service that its present registrations name. */
    Set<String> registeredVersions(String service) {
        return registered.stream()
                .filter(v -> v.service().equals(service))
                .map(ServiceVersion::version)
                .collect(Collectors.toSet());
    }

    /** Reads the record as the store has it now, and completes it if it was deleted or is an older copy. */
    CompletableFuture<VersionRecord> read() {
        return store.get(KIND, NAME)
                .thenApplyAsync(
                        found -> {
                            noticeRestore();
                            VersionRecord current =
                                    found.map(StreamVersionController::decode).orElseGet(VersionRecord::empty);
                            VersionRecord complete = registry.withLost(current);
                            if (!complete.equals(current)
                                    || !registered.stream().allMatch(current::contains)) {
                                sync();
                            }
                            return complete;
                        },
                        control);
    }

    private boolean isFirstInstance() {
        return blackboard.members().stream().allMatch(m -> m.name().compareTo(instance) >= 0);
    }

    /** Reads the record and adds the versions that it lacks. */
    private void sync() {
        if (!syncing) {
            syncing = true;
            store.get(KIND, NAME).whenCompleteAsync(this::onRead, control);
        }
    }

    private void onRead(@Nullable Optional<StoreObject> found, @Nullable Throwable failure) {
        if (found == null) {
            retry("read", String.valueOf(failure));
        } else {
            complete(found);
        }
    }

    private void complete(Optional<StoreObject> found) {
        noticeRestore();
        VersionRecord current = found.map(StreamVersionController::decode).orElseGet(VersionRecord::empty);
        VersionRecord next = registry.completed(current);
        if (next.equals(current)) {
            confirmed(current);
            return;
        }
        (found.isPresent()
                        ? store.replace(KIND, NAME, found.get().revision(), Json.tree(next))
                        : store.create(KIND, NAME, Json.tree(next)))
                .whenCompleteAsync((reply, failure) -> onWritten(next, reply, failure), control);
    }

    private void onWritten(VersionRecord written, @Nullable WriteResult reply, @Nullable Throwable failure) {
        if (reply instanceof WriteResult.Stored) {
            log.event("stream-versions")
                    .field("versions", String.valueOf(written.versions()))
                    .write();
            confirmed(written);
        } else if (reply instanceof WriteResult.Conflict c && c.current().isPresent()) {
            complete(c.current());
        } else {
            retry("write", reply == null ? String.valueOf(failure) : reply.toString());
        }
    }

    private void confirmed(VersionRecord record) {
        syncing = false;
        recordRead = true;
        registry.confirmed(record);
        if (registry.unrecorded().isEmpty()) {
            publish();
        } else {
            sync();
        }
    }

    /** Publishes the recorded versions; at the start not before those of all registered servers have been recorded. */
    private void publish() {
        if (recordRead && serversListed) {
            blackboard.streamVersions(registry.recorded());
        }
    }

    private void retry(String call, String reason) {
        log.event("stream-versions-failed")
                .field("call", call)
                .field("reason", reason)
                .write();
        publish();
        control.schedule(
                () -> {
                    syncing = false;
                    sync();
                },
                RETRY_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Reads a record without data binding, which would delay each start; one of another form names no version. */
    private static VersionRecord decode(StoreObject object) {
        Map<String, Set<String>> versions = new HashMap<>();
        object.content().path("versions").fields().forEachRemaining(service -> {
            Set<String> named = new HashSet<>();
            service.getValue().forEach(v -> named.add(v.asText()));
            versions.put(service.getKey(), named);
        });
        return new VersionRecord(versions);
    }
}
