package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.discovery.CheckedInstances;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.entry.EntrySettings;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.platform.StoreClient;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** All controllers of an instance, on one thread. */
public final class Control {
    /** The store answers in some milliseconds, in a quarter of a second when it is slow. */
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(900);

    private static final long TICK_MS = 200;
    private static final long MEMBER_CHECK_MS = 1_000;
    private static final long MEMBER_REFRESH_MS = 2_000;
    private static final long FIRST_MEMBER_REFRESH_MS = 400;

    private final ScheduledExecutorService executor;
    private final PrepaidController prepaid;
    private final KindFollower configs;
    private final KindFollower servers;
    private final BackendController backends;
    private final MemberController members;
    private final PeerTransfers peers;

    /** Receives what becomes of requests that wait for tokens. */
    public interface Waiters extends PrepaidController.Waiters {}

    /**
     * Creates the controllers.
     *
     * @param waiters receives what becomes of requests that wait for tokens
     */
    public Control(
            EntrySettings settings,
            Clock clock,
            ScheduledExecutorService executor,
            HttpClient http,
            Blackboard blackboard,
            PrepaidHoldings book,
            EventLog log,
            Waiters waiters) {
        this.executor = executor;
        StoreClient store = new StoreClient(http, settings.storeAddress(), STORE_TIMEOUT);
        prepaid = new PrepaidController(store, clock, executor, book, log, endedHolders(settings, book), waiters);
        backends = new BackendController(store, executor, clock, blackboard, log);
        BooleanSupplier largeFleet = () -> CheckedInstances.isLargeFleet(blackboard.instances() - 1);
        configs = new KindFollower(
                store,
                StoreClient.CONFIGURATION,
                executor,
                log,
                new ConfigController(blackboard, book, log, () -> prepaid().tick()),
                largeFleet);
        servers = new KindFollower(store, StoreClient.BACKEND_SERVERS, executor, log, backends, largeFleet);
        Member self = new Member(
                settings.instance(),
                settings.availabilityZone(),
                settings.callerAddress(),
                settings.readinessAddress(),
                settings.peerAddress(),
                Runtime.getRuntime().availableProcessors());
        peers = new PeerTransfers(
                clock,
                book,
                executor,
                blackboard,
                log,
                self,
                settings.peerSecret(),
                waiters::holdingsChanged,
                prepaid::endedHoldersKnown);
        prepaid.peers(peers);
        members = new MemberController(store, http, executor, blackboard, log, self, peers);
    }

    /** A new incarnation on an instance proves that the earlier ones have ended. */
    private static Predicate<String> endedHolders(EntrySettings settings, PrepaidHoldings book) {
        String prefix = settings.instance() + "/";
        return holder -> holder.startsWith(prefix) && !holder.equals(book.holder());
    }

    /** Starts following the store. */
    public void start() {
        executor.execute(() -> {
            configs.start();
            servers.start();
            members.register();
        });
        executor.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        executor.schedule(members::refresh, FIRST_MEMBER_REFRESH_MS, TimeUnit.MILLISECONDS);
        executor.scheduleWithFixedDelay(members::refresh, MEMBER_REFRESH_MS, MEMBER_REFRESH_MS, TimeUnit.MILLISECONDS);
        executor.scheduleWithFixedDelay(members::check, MEMBER_CHECK_MS, MEMBER_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        backends.tick();
        peers.witnesses().tick();
        prepaid.tick();
    }

    private PrepaidController prepaid() {
        return prepaid;
    }

    /** Gets tokens for requests of a workspace that wait. May be called from any thread. */
    public void needTokens(String workspace) {
        executor.execute(() -> prepaid.need(workspace));
    }

    /** Tells the other instances that this one shuts down. */
    public void leave() {
        executor.execute(members::leave);
    }

    /** Gives unused tokens back, then runs an action. */
    public void returnTokens(Runnable done) {
        executor.execute(() -> prepaid.returnAll(done));
    }

    /** Ends the links with other instances. */
    public void close() {
        peers.close();
    }
}
