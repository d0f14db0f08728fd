package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Orders backend servers to load the models of their pool that they lack, while this router holds the orders lease. The
 * orders are spaced evenly over the minute, because the weight store is rate-limited. A new lease holder waits one
 * interval before its first order, because it does not know when its predecessor issued the last one.
 */
final class ModelLoadController {
    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    /**
     * Loading takes time and load reports lag, so an order is repeated only if the model is still missing after this
     * time.
     */
    private static final Duration REPEAT_PERIOD = Duration.ofSeconds(60);

    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final int HTTP_CONFLICT = 409;

    private final ControlContext context;
    private final HttpClient http;
    private final BackendController backends;
    private final OrdersLease lease;
    private final Map<String, Instant> orderedAt = new HashMap<>();
    private Instant nextLoadAt = Instant.EPOCH;
    private long lastFence = -1;

    /** The body of an order to a backend server. */
    record Order(long fence, String kind, String model) {}

    private record MissingModel(String server, ServerEntry entry, String model, long loadedCopies) {
        String id() {
            return server + " " + entry.address() + " " + model;
        }
    }

    ModelLoadController(ControlContext context, HttpClient http, BackendController backends, OrdersLease lease) {
        this.context = context;
        this.http = http;
        this.backends = backends;
        this.lease = lease;
        backends.pollAllWhile(lease::mayIssueOrders);
    }

    void start() {
        lease.start();
        context.loop().every(TICK, this::tick);
    }

    private void tick() {
        Optional<ConfigHead> head = context.blackboard().config().map(c -> c.head());
        if (!lease.mayIssueOrders() || head.isEmpty()) {
            return;
        }
        Instant now = context.now();
        Duration spacing = MINUTE.dividedBy(Math.max(1, head.get().weightStoreLoadsPerMinute()));
        if (lease.fence() != lastFence) {
            lastFence = lease.fence();
            orderedAt.clear();
            nextLoadAt = now.plus(spacing);
        }
        orderedAt.values().removeIf(at -> Duration.between(at, now).compareTo(REPEAT_PERIOD) > 0);
        List<MissingModel> missing = missing(head.get());
        // At a high rate limit several orders are due within one tick.
        Instant due = nextLoadAt.isBefore(now.minus(TICK)) ? now.minus(TICK) : nextLoadAt;
        for (MissingModel missingModel : missing) {
            if (due.isAfter(now) || !lease.mayIssueOrders()) {
                break;
            }
            due = due.plus(spacing);
            sendOrder(missingModel);
        }
        nextLoadAt = due;
    }

    /** Returns the missing models, those with the fewest loaded copies in their pool first. */
    private List<MissingModel> missing(ConfigHead head) {
        List<MissingModel> missing = new ArrayList<>();
        for (Pool pool : head.pools().values()) {
            if (pool.kind() == PoolKind.MODEL) {
                pool.models().forEach(model -> missing.addAll(missing(pool, model)));
            }
        }
        missing.removeIf(missingModel -> orderedAt.containsKey(missingModel.id()));
        missing.sort(Comparator.comparingLong(MissingModel::loadedCopies).thenComparing(MissingModel::id));
        return missing;
    }

    private List<MissingModel> missing(Pool pool, String model) {
        List<MissingModel> missing = new ArrayList<>();
        long loadedCopies = pool.servers().entrySet().stream()
                .filter(e -> backends.entry(e.getKey(), e.getValue()).has(model))
                .count();
        pool.servers().forEach((id, server) -> {
            ServerEntry entry = backends.entry(id, server);
            if (backends.isEligible(id, server) && entry.lacks(model)) {
                missing.add(new MissingModel(id, entry, model, loadedCopies));
            }
        });
        return missing;
    }

    private void sendOrder(MissingModel missingModel) {
        orderedAt.put(missingModel.id(), context.now());
        context.count("orders.loads");
        HttpCall call = HttpCall.post("http://" + missingModel.entry().address() + "/orders")
                .json(Json.bytes(new Order(lease.fence(), "load", missingModel.model())))
                .timeout(CALL_TIMEOUT)
                .build();
        CompletableFuture<HttpReply> reply = http.send(call);
        context.loop().onDone(reply, this::answered, failure -> context.count("orders.failed"));
    }

    private void answered(HttpReply reply) {
        if (reply.status() == HTTP_CONFLICT) {
            context.count("orders.fencedOff");
            lease.invalidate();
        } else if (!reply.isSuccess()) {
            context.count("orders.failed");
        }
    }
}
