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

/** Owns the threads and connections of a client. */
public final class FleetClient implements HornbeamfieldClient {
    private static final int THREADS = 4;

    private final Settings settings;
    private final HttpClient http = HttpClient.create("hornbeamfield-client");
    private final ExecutorService pool;
    private final ScheduledExecutorService timer;
    private final AddressBook addresses;
    private final RouterHealth health;

    private FleetClient(Settings settings) {
        this.settings = settings;
        ThreadFactoryBuilder threads = new ThreadFactoryBuilder().setDaemon(true);
        this.pool = Executors.newFixedThreadPool(
                THREADS, threads.setNameFormat("hornbeamfield-client-%d").build());
        this.timer = Executors.newSingleThreadScheduledExecutor(
                threads.setNameFormat("hornbeamfield-client-timer").build());
        this.addresses = new AddressBook(settings, http);
        this.health = new RouterHealth(http, settings.clock());
    }

    /** Starts a client. */
    public static FleetClient start(Settings settings) {
        return new FleetClient(settings);
    }

    @Override
    public CompletableFuture<Outcome> chat(ChatRequest request, AnswerListener listener) {
        Executor executor = MoreExecutors.newSequentialExecutor(pool);
        Sender sender = new ChatSender(http, settings, request, listener, executor, timer, health);
        return flow(sender, request.options(), executor);
    }

    @Override
    public CompletableFuture<Outcome> call(ServiceCall call) {
        Executor executor = MoreExecutors.newSequentialExecutor(pool);
        return flow(
                new ServiceSender(http, settings.workspaceKey(), call, executor, timer, health),
                call.options(),
                executor);
    }

    private CompletableFuture<Outcome> flow(Sender sender, CallOptions options, Executor executor) {
        return new RequestFlow(settings, addresses, health, sender, options.deadline(), executor, timer).start();
    }

    @Override
    public void close() {
        // Connections first, so that no event arrives for an executor that has stopped.
        http.close();
        timer.shutdownNow();
        pool.shutdownNow();
    }
}
