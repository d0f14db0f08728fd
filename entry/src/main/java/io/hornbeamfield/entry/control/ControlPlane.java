package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.discovery.CheckedInstances;
import io.hornbeamfield.core.discovery.OutageProbe;
import io.hornbeamfield.core.discovery.RecentReadiness;
import io.hornbeamfield.core.discovery.WatchPacing;
import io.hornbeamfield.core.discovery.WatchTiming;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.stream.StreamRecords;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.entry.DelayLog;
import io.hornbeamfield.entry.EntrySettings;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.LoadSharing;
import io.hornbeamfield.entry.LoggedTask;
import io.hornbeamfield.entry.traffic.StreamOrigins;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.platform.StoreCalls;
import io.hornbeamfield.platform.StoreClient;
import java.time.Clock;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** Creates the controllers of an instance and runs them on one thread. */
public final class ControlPlane {
    /** The store usually responds within milliseconds, and within 250 ms when it is slow. */
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(900);

    private static final long TICK_MS = 200;
    private static final long MEMBER_CHECK_MS = 1_000;
    private static final long MEMBER_REFRESH_MS = 2_000;
    private static final long FIRST_MEMBER_REFRESH_MS = 400;

    /** An ended instance must not be named to callers later than 3 s after the contact time; 1 s is a reserve. */
    private static final long MAX_NAMED_AFTER_CONTACT_MS = 2_000;

    private final ScheduledExecutorService executor;
    private final PrepaidController prepaid;
    private final StoreWatcher configs;
    private final StoreWatcher servers;
    private final Optional<StoreWatcher> evacuations;
    private final BackendController backends;
    private final MembershipController members;
    private final DelayLog delays;
    private final PeerTransfers peers;
    private final CrashController crashes;
    private final StreamVersionController streamVersions;
    private final StreamOriginController origins;

    /** Receives events about the tokens that waiting requests need. */
    public interface TokenListener extends PrepaidController.TokenListener {}

    /** Receives changes of the parts of prompts that crash servers. */
    @FunctionalInterface
    public interface QuarantineListener {
        void quarantineChanged();
    }

    /**
     * Creates the controllers.
     *
     * @param partActivity when this instance served and refused each part of a prompt
     * @param tokenListener receives events about the tokens that waiting requests need
     * @param quarantineListener receives changes of the parts of prompts that crash servers
     * @param storeCalls counts the calls to the store
     * @param sharing receives the loads of other instances
     */
    @SuppressWarnings("checkstyle:ParameterNumber")
    public ControlPlane(
            EntrySettings settings,
            Clock clock,
            ScheduledExecutorService executor,
            HttpClient http,
            Blackboard blackboard,
            PrepaidHoldings book,
            EventLog log,
            PartActivity partActivity,
            TokenListener tokenListener,
            QuarantineListener quarantineListener,
            StoreCalls storeCalls,
            LoadSharing sharing) {
        this.executor = executor;
        delays = new DelayLog(clock, log, "control");
        StoreClient store = storeClient(settings, http, storeCalls, log);
        prepaid = new PrepaidController(
                store, clock, executor, book, log, isEarlierIncarnation(settings, book), tokenListener);
        BooleanSupplier largeFleet = () -> CheckedInstances.isLargeFleet(blackboard.instanceCount() - 1);
        WatchTiming timing =
                new WatchTiming(settings.storeContactMs(), settings.changeAdoptionMs(), STORE_TIMEOUT.toMillis());
        OutageProbe probe = probe(store, clock, executor);
        Member self = self(settings);
        peers = new PeerTransfers(
                clock,
                book,
                executor,
                blackboard,
                log,
                self,
                settings.peerSecret(),
                tokenListener::holdingsChanged,
                prepaid::onWitnessReply);
        prepaid.setPeers(peers);
        streamVersions =
                new StreamVersionController(store, executor, clock, blackboard, log, settings.instance(), largeFleet);
        origins = streamOrigins(settings, store, clock, blackboard, log);
        peers.setStreams(origins);
        backends = new BackendController(store, executor, clock, blackboard, log, streamVersions);
        configs = new StoreWatcher(
                store,
                StoreClient.CONFIGURATION_KIND,
                executor,
                log,
                configController(settings, clock, blackboard, book, log),
                new WatchPacing(timing.confirming(), WatchPacing.Changes.SINGLE, largeFleet, ControlPlane::random),
                probe,
                // Each event has a whole configuration.
                StoreWatcher.CatchUp.LIST);
        servers = new StoreWatcher(
                store,
                StoreClient.BACKEND_SERVER_KIND,
                executor,
                log,
                backends,
                new WatchPacing(timing, WatchPacing.Changes.BURSTS, largeFleet, ControlPlane::random),
                probe,
                StoreWatcher.CatchUp.EVENTS);
        evacuations = evacuationWatcher(settings, store, clock, executor, blackboard, log, largeFleet, probe);
        crashes = new CrashController(
                store,
                executor,
                clock,
                blackboard,
                log,
                settings.instance(),
                partActivity,
                quarantineListener::quarantineChanged,
                largeFleet);
        members = new MembershipController(
                store, http, clock, executor, blackboard, log, self, peers, sharing, readiness(settings, clock));
    }

    private StreamOriginController streamOrigins(
            EntrySettings settings, StoreClient store, Clock clock, Blackboard blackboard, EventLog log) {
        StreamRecords records = new StreamRecords(clock);
        StoredOrigins stored = new StoredOrigins(
                store,
                executor,
                clock,
                blackboard,
                log,
                settings.instance(),
                records,
                streamVersions::hasSeveralVersions);
        return new StreamOriginController(executor, clock, blackboard, peers, streamVersions, records, stored);
    }

    private ConfigController configController(
            EntrySettings settings, Clock clock, Blackboard blackboard, PrepaidHoldings book, EventLog log) {
        boolean regionsDeclared = settings.zoneRegions().declared();
        return new ConfigController(
                clock, blackboard, book, log, () -> prepaid().tick(), regionsDeclared);
    }

    private StoreClient storeClient(EntrySettings settings, HttpClient http, StoreCalls calls, EventLog log) {
        // A list that is given up has to arrive from its start again.
        Duration listTimeout = Duration.ofMillis(settings.storeContactMs());
        StoreClient store = new StoreClient(http, settings.storeAddress(), STORE_TIMEOUT, listTimeout, calls);
        store.onNewEra(era -> onNewEra(era, log));
        return store;
    }

    private void onNewEra(long era, EventLog log) {
        log.event("store-restored").field("era", era).write();
        // The ledger must be declared before an instance that starts now takes tokens on the basis of it.
        executor.execute(() -> LoggedTask.run("Reading the restored ledger", prepaid::tick));
    }

    private static Member self(EntrySettings settings) {
        return new Member(
                        settings.instance(),
                        settings.availabilityZone(),
                        settings.callerAddress(),
                        settings.readinessAddress(),
                        settings.peerAddress(),
                        Runtime.getRuntime().availableProcessors())
                .withCapacity(settings.deployment())
                .rememberingStreams();
    }

    /** Probes with the list of instances, whose size is bounded, so that an answer arrives also on a slow link. */
    private static OutageProbe probe(StoreClient store, Clock clock, ScheduledExecutorService executor) {
        return new OutageProbe(
                clock,
                onEnd -> store.listStale(MembershipController.KIND)
                        .whenCompleteAsync((list, failure) -> onEnd.accept(list != null), executor),
                (delayMs, action) -> executor.schedule(action, delayMs, TimeUnit.MILLISECONDS),
                ControlPlane::random);
    }

    /** A deployment that evacuates zones also limits how long an ended instance may be named. */
    private static RecentReadiness readiness(EntrySettings settings, Clock clock) {
        boolean limited = settings.deployment().evacuationAdoptionMs().isPresent();
        return new RecentReadiness(
                clock,
                limited
                        ? OptionalLong.of(settings.storeContactMs() + MAX_NAMED_AFTER_CONTACT_MS)
                        : OptionalLong.empty());
    }

    private static double random() {
        return ThreadLocalRandom.current().nextDouble();
    }

    /** Returns the watch of the evacuated zones, empty if the deployment evacuates none. */
    private static Optional<StoreWatcher> evacuationWatcher(
            EntrySettings settings,
            StoreClient store,
            Clock clock,
            ScheduledExecutorService executor,
            Blackboard blackboard,
            EventLog log,
            BooleanSupplier largeFleet,
            OutageProbe probe) {
        if (settings.deployment().evacuationAdoptionMs().isEmpty()) {
            return Optional.empty();
        }
        blackboard.awaitEvacuations();
        long adoptionMs = settings.deployment().evacuationAdoptionMs().getAsLong();
        WatchTiming timing =
                new WatchTiming(Math.min(settings.storeContactMs(), adoptionMs), adoptionMs, STORE_TIMEOUT.toMillis());
        return Optional.of(new StoreWatcher(
                store,
                StoreClient.EVACUATION_KIND,
                executor,
                log,
                new EvacuationController(executor, clock, blackboard, log),
                new WatchPacing(timing, WatchPacing.Changes.SINGLE, largeFleet, ControlPlane::random),
                probe,
                StoreWatcher.CatchUp.EVENTS));
    }

    /** Recognizes earlier incarnations of this instance, which have ended because a new one is running. */
    private static Predicate<String> isEarlierIncarnation(EntrySettings settings, PrepaidHoldings book) {
        String prefix = settings.instance() + "/";
        return holder -> holder.startsWith(prefix) && !holder.equals(book.holder());
    }

    /** Starts watching the store and schedules the periodic tasks. */
    public void start() {
        executor.execute(() -> {
            configs.start();
            servers.start();
            evacuations.ifPresent(StoreWatcher::start);
            crashes.start();
            streamVersions.start();
            members.register();
        });
        every(TICK_MS, "Maintaining the servers", () -> {
            delays.check(TICK_MS);
            backends.tick();
        });
        every(TICK_MS, "Maintaining the origins of streams", () -> {
            streamVersions.tick();
            origins.tick();
        });
        every(TICK_MS, "Maintaining the witnesses", peers.witnesses()::tick);
        every(TICK_MS, "Maintaining the prepaid tokens", prepaid::tick);
        executor.schedule(members::refresh, FIRST_MEMBER_REFRESH_MS, TimeUnit.MILLISECONDS);
        every(MEMBER_REFRESH_MS, "Reading the list of instances", members::refresh);
        every(MEMBER_CHECK_MS, "Checking the other instances", members::checkReadiness);
    }

    private void every(long periodMs, String name, Runnable task) {
        executor.scheduleWithFixedDelay(() -> LoggedTask.run(name, task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /** Records a request whose answer had not begun when its server crashed. May be called from any thread. */
    public void serverCrashed(String service, String server, String request, Collection<String> parts) {
        executor.execute(() -> crashes.serverCrashed(service, server, request, parts));
    }

    private PrepaidController prepaid() {
        return prepaid;
    }

    /** Returns what is known of the versions that began streams. */
    public StreamOrigins streamOrigins() {
        return origins;
    }

    /** Acquires tokens for the waiting requests of a workspace. May be called from any thread. */
    public void requestTokens(String workspace) {
        executor.execute(() -> prepaid.requestTokens(workspace));
    }

    /** Removes the registration of this instance where other instances rely on it. */
    public void unregisterSelf() {
        executor.execute(members::unregisterSelf);
    }

    /** Returns unused tokens to the ledger, then runs an action. */
    public void returnTokens(Runnable done) {
        executor.execute(() -> prepaid.returnAll(done));
    }

    /** Closes the links to other instances. */
    public void close() {
        peers.close();
    }
}
