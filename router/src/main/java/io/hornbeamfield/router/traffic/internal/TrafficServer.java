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
import io.hornbeamfield.router.traffic.TrafficParts;
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

/** Wires the parts of traffic and owns its threads. */
public final class TrafficServer implements Traffic {
    /** Steps of requests never block, so a few threads suffice. */
    private static final int REQUEST_THREADS = 4;

    /** Writes to slow callers block a thread each. */
    private static final int DELIVERY_THREADS = 128;

    private static final int INITIAL_LIMIT = 64;
    private static final Duration STOP_LIMIT = Duration.ofSeconds(2);
    private static final int TICK_MS = 100;
    private static final double MAX_RETRIES_IN_A_ROW = 10;

    private final ExecutorService requests;
    private final ExecutorService delivery;
    private final ScheduledExecutorService timer;
    private final TrafficContext context;
    private final RequestTable table;
    private final OpenExchanges exchanges = new OpenExchanges();
    private final HttpServer server;

    private TrafficServer(TrafficParts parts) {
        requests = pool(REQUEST_THREADS, "traffic-request");
        delivery = pool(DELIVERY_THREADS, "traffic-delivery");
        timer = new ScheduledThreadPoolExecutor(1, daemon("traffic-timer"), new DiscardPolicy());
        AdmissionQueue queue = new AdmissionQueue(parts.clock());
        // In force only between the adoption of the first configuration and the next tick.
        queue.updateLimits(INITIAL_LIMIT, INITIAL_LIMIT, Priority.LOW);
        ServerChoice servers = new ServerChoice(
                parts.board(),
                parts.load(),
                BackendChoosers.prefixAware(parts.prefixes()),
                BackendChoosers.leastOutstanding(),
                parts.prefixes());
        context = new TrafficContext(
                parts.incarnation(),
                parts.board(),
                parts.budgets(),
                parts.billing(),
                parts.load(),
                parts.client(),
                parts.clock(),
                timer,
                requests,
                queue,
                new RetryBudget(MAX_RETRIES_IN_A_ROW),
                servers,
                new Counters(parts.metrics()));
        Hello hello = new Hello(parts.incarnation(), parts.secret(), parts.client());
        RequestRegistry<Answer> registry =
                new RequestRegistry<>(parts.incarnation(), parts.clock(), parts.registryLimits(), Answer::bytes);
        table = new RequestTable(context, registry, new Relay(context, hello));
        tick();
        timer.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        server = new CallerApi(context, table, hello, delivery, exchanges)
                .routes(HttpServer.builder().address(parts.callerAddress()).name("callers"))
                .start();
    }

    /** Starts the threads and the server. */
    public static TrafficServer start(TrafficParts parts) {
        return new TrafficServer(parts);
    }

    /** After a stop at once, the events of open connections are discarded. */
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
    public int open() {
        // A run may have no caller any more, and a caller may wait for another router.
        return Math.max(table.open(), exchanges.count());
    }

    @Override
    public Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("running", table.open());
        state.put("openExchanges", exchanges.count());
        state.put("admitted", context.queue().running());
        state.put("waiting", context.queue().waiting());
        state.put("rememberedKeys", table.remembered());
        state.put("retriesLeft", context.retries().available());
        return state;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        requests.shutdownNow();
        delivery.shutdownNow();
        // Steps that run now still use the client, which is closed next.
        boolean stopped = Uninterruptibles.awaitTerminationUninterruptibly(requests, STOP_LIMIT);
        if (!stopped) {
            context.counters().count("stopLimitPassed");
        }
        server.close();
    }
}
