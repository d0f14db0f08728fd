package io.hornbeamfield.client.internal;

import com.google.common.util.concurrent.MoreExecutors;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.hornbeamfield.client.AnswerListener;
import io.hornbeamfield.client.CallOptions;
import io.hornbeamfield.client.ChatRequest;
import io.hornbeamfield.client.HornbeamfieldClient;
import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.client.ServiceCall;
import io.hornbeamfield.net.http.HttpClient;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Client implementation. Owns the threads and connections that all requests share. */
public final class FleetClient implements HornbeamfieldClient {
    private static final int THREAD_COUNT = 4;

    private final Settings settings;
    private final HttpClient http = HttpClient.create("hornbeamfield-client");
    private final ExecutorService pool;
    private final ScheduledExecutorService timer;
    private final AddressCache addresses;
    private final RouterHealth health;

    private FleetClient(Settings settings) {
        this.settings = settings;
        ThreadFactoryBuilder threads = new ThreadFactoryBuilder().setDaemon(true);
        this.pool = Executors.newFixedThreadPool(
                THREAD_COUNT, threads.setNameFormat("hornbeamfield-client-%d").build());
        this.timer = Executors.newSingleThreadScheduledExecutor(
                threads.setNameFormat("hornbeamfield-client-timer").build());
        this.addresses = new AddressCache(settings, http);
        this.health = new RouterHealth(http, settings.clock());
    }

    /** Creates a client with its threads and connections. */
    public static FleetClient start(Settings settings) {
        return new FleetClient(settings);
    }

    @Override
    public CompletableFuture<Outcome> chat(ChatRequest request, AnswerListener listener) {
        Executor executor = MoreExecutors.newSequentialExecutor(pool);
        Sender sender = new ChatSender(http, settings, request, listener, executor, timer, health);
        return execute(sender, request.options(), executor);
    }

    @Override
    public CompletableFuture<Outcome> call(ServiceCall call) {
        Executor executor = MoreExecutors.newSequentialExecutor(pool);
        return execute(
                new ServiceSender(http, settings.workspaceKey(), call, executor, timer, health),
                call.options(),
                executor);
    }

    private CompletableFuture<Outcome> execute(Sender sender, CallOptions options, Executor executor) {
        return new RetryingRequest(settings, addresses, health, sender, options.deadline(), executor, timer).start();
    }

    @Override
    public void close() {
        // Connections are closed first, so that no event reaches an executor that has been shut down.
        http.close();
        timer.shutdownNow();
        pool.shutdownNow();
    }
}
