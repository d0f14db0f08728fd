package io.hornbeamfield.router.traffic.internal;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.google.common.util.concurrent.Uninterruptibles;
import io.hornbeamfield.core.admission.AdmissionQueue;
import io.hornbeamfield.core.admission.RetryBudget;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.identity.RequestRegistry;
import io.hornbeamfield.core.routing.BackendChoosers;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.router.traffic.Traffic;
import io.hornbeamfield.router.traffic.TrafficDependencies;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor.DiscardPolicy;
import java.util.concurrent.TimeUnit;

/** Wires the components that serve callers and owns their threads. */
public final class TrafficServer implements Traffic {
    /** Steps of requests never block, so a few threads suffice. */
    private static final int REQUEST_THREADS = 4;

    /** A write to a slow caller blocks its thread. */
    private static final int DELIVERY_THREADS = 128;

    private static final int INITIAL_QUEUE_LIMIT = 64;
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);
    private static final int TICK_INTERVAL_MS = 100;
    private static final double MAX_RETRY_BURST = 10;

    private final ExecutorService requests;
    private final ExecutorService delivery;
    private final ScheduledExecutorService timer;
    private final TrafficContext context;
    private final RequestCoordinator coordinator;
    private final OpenExchanges exchanges = new OpenExchanges();
    private final HttpServer server;

    private TrafficServer(TrafficDependencies dependencies) {
        requests = pool(REQUEST_THREADS, "traffic-request");
        delivery = pool(DELIVERY_THREADS, "traffic-delivery");
        timer = new ScheduledThreadPoolExecutor(1, daemon("traffic-timer"), new DiscardPolicy());
        AdmissionQueue queue = new AdmissionQueue(dependencies.clock());
        // Applies only from the adoption of the first configuration until the next tick.
        queue.updateLimits(INITIAL_QUEUE_LIMIT, INITIAL_QUEUE_LIMIT, Priority.LOW);
        ServerSelector servers = new ServerSelector(
                dependencies.board(),
                dependencies.load(),
                BackendChoosers.prefixAware(dependencies.prefixes()),
                BackendChoosers.leastOutstanding(),
                dependencies.prefixes());
        context = new TrafficContext(
                dependencies.incarnation(),
                dependencies.board(),
                dependencies.budgets(),
                dependencies.billing(),
                dependencies.load(),
                dependencies.crashes(),
                dependencies.client(),
                dependencies.clock(),
                timer,
                requests,
                queue,
                new RetryBudget(MAX_RETRY_BURST),
                servers,
                new Counters(dependencies.metrics()));
        RouterIdentity identity =
                new RouterIdentity(dependencies.incarnation(), dependencies.secret(), dependencies.client());
        RequestRegistry<Answer> registry = new RequestRegistry<>(
                dependencies.incarnation(), dependencies.clock(), dependencies.registryLimits(), Answer::bytes);
        coordinator = new RequestCoordinator(context, registry, new Relay(context, identity));
        tick();
        timer.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        server = new CallerApi(context, coordinator, identity, delivery, exchanges)
                .routes(HttpServer.builder()
                        .address(dependencies.callerAddress())
                        .name("callers"))
                .start();
    }

    /** Starts the threads and the server. */
    public static TrafficServer start(TrafficDependencies dependencies) {
        return new TrafficServer(dependencies);
    }

    /** Creates a pool that discards tasks after shutdown, such as events of connections that are still open. */
    private static ExecutorService pool(int threads, String name) {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                threads, threads, 10, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), daemon(name), new DiscardPolicy());
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    private static ThreadFactory daemon(String name) {
        return new ThreadFactoryBuilder()
                .setNameFormat(name + "-%d")
                .setDaemon(true)
                .build();
    }

    private void tick() {
        context.board().config().ifPresent(c -> context.queue().updateLimits(c.preset()));
        context.queue().tick();
    }

    @Override
    public int port() {
        return server.port();
    }

    @Override
    public int inFlight() {
        // A run may have no caller left, and a caller may be waiting for a relayed answer.
        return Math.max(coordinator.inFlight(), exchanges.count());
    }

    @Override
    public Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("running", coordinator.inFlight());
        state.put("openExchanges", exchanges.count());
        state.put("admitted", context.queue().running());
        state.put("waiting", context.queue().waiting());
        state.put("rememberedKeys", coordinator.rememberedKeys());
        state.put("retriesLeft", context.retries().available());
        return state;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        requests.shutdownNow();
        delivery.shutdownNow();
        // Steps in progress still use the client, which the process closes next.
        boolean stopped = Uninterruptibles.awaitTerminationUninterruptibly(requests, SHUTDOWN_TIMEOUT);
        if (!stopped) {
            context.counters().count("stopLimitPassed");
        }
        server.close();
    }
}
