package io.hornbeamfield.standins.engine.internal;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Loaded models and the orders that change them. */
final class Models {
    static final List<String> KINDS = List.of("load", "unload", "role");

    /** An order as it was received. */
    record Order(long fence, String kind, String model, String role, long atMs, boolean accepted) {}

    private final Set<String> loaded;
    private final Set<String> loading = new HashSet<>();
    private final List<Order> orders = new ArrayList<>();
    private final boolean checksFencing;
    private final long loadMs;
    private final Clock clock;
    private final ScheduledExecutorService timer;
    private long highestFence;
    private String role = "";

    Models(
            Collection<String> initial,
            boolean checksFencing,
            long loadMs,
            Clock clock,
            ScheduledExecutorService timer) {
        this.loaded = new TreeSet<>(initial);
        this.checksFencing = checksFencing;
        this.loadMs = loadMs;
        this.clock = clock;
        this.timer = timer;
    }

    synchronized boolean has(String model) {
        return loaded.contains(model);
    }

    synchronized List<String> loaded() {
        return List.copyOf(loaded);
    }

    synchronized List<Order> orders() {
        return List.copyOf(orders);
    }

    synchronized String role() {
        return role;
    }

    synchronized long highestFence() {
        return highestFence;
    }

    /** Accepts an order, or refuses it because of its old fencing number. An order that changes nothing is accepted. */
    synchronized boolean order(long fence, String kind, String model, String newRole) {
        boolean accepted = !checksFencing || fence >= highestFence;
        orders.add(new Order(fence, kind, model, newRole, clock.millis(), accepted));
        if (accepted) {
            highestFence = Math.max(highestFence, fence);
            apply(kind, model, newRole);
        }
        return accepted;
    }

    private void apply(String kind, String model, String newRole) {
        switch (kind) {
            case "load" -> load(model);
            case "unload" -> {
                loading.remove(model);
                loaded.remove(model);
            }
            case "role" -> role = newRole;
            default -> throw new IllegalArgumentException("The order kind must be one of " + KINDS + ": " + kind);
        }
    }

    private void load(String model) {
        if (!loaded.contains(model) && loading.add(model)) {
            timer.schedule(() -> finishLoad(model), loadMs, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void finishLoad(String model) {
        if (loading.remove(model)) {
            loaded.add(model);
        }
    }
}
