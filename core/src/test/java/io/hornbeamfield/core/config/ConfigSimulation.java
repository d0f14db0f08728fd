package io.hornbeamfield.core.config;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Simulates routers, operators, the platform and the messages between them. A step that is not possible in the current
 * state has no effect.
 */
final class ConfigSimulation {
    static final int PLATFORM = -1;
    private static final Duration ADOPTION_DEADLINE = Duration.ofSeconds(19);
    private static final Duration TICK = Duration.ofMillis(500);
    private static final String[] PRESETS = {"ordinary", "peak", "maintenance"};

    /** One step of a schedule. */
    record Step(Kind kind, int a, int b) {}

    enum Kind {
        READ(8),
        DELIVER(24),
        DROP(3),
        HEARTBEAT(10),
        OPERATOR(4),
        OUTAGE(1),
        RESTART(2),
        PAUSE(1),
        RESUME(2),
        UNLINK(1),
        CHECK(6),
        ADVANCE(8);

        final int weight;

        Kind(int weight) {
            this.weight = weight;
        }
    }

    private record Message(int target, @Nullable ConfigRouter to, Runnable deliver) {}

    final ManualClock clock = ManualClock.atEpochSecond(1_000);
    final ConfigRouter[] routers;
    private final Function<Clock, OverridableAdoption> adoptions;
    private final List<Message> messages = new ArrayList<>();
    private final List<ConfigHead> heads = new ArrayList<>();
    private final Map<Long, String> presets = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final long[] operatorRead = {1, 1};
    boolean outage;
    private int incarnations;

    ConfigSimulation(int size, Function<Clock, OverridableAdoption> adoptions) {
        this.adoptions = adoptions;
        store(1, 0);
        routers = new ConfigRouter[size];
        for (int i = 0; i < size; i++) {
            restart(i);
        }
    }

    OverridableAdoption newAdoption() {
        return adoptions.apply(clock);
    }

    Optional<String> violation() {
        return violations.stream().findFirst();
    }

    void checkInvariant(boolean kept, String violation) {
        if (!kept) {
            violations.add(violation);
        }
    }

    /** Returns the head that is {@code behind} revisions old, as a lagging replica would. */
    ConfigHead head(int behind) {
        return heads.get(Math.max(0, heads.size() - 1 - behind));
    }

    String presetOf(long revision) {
        return presets.getOrDefault(revision, "");
    }

    void send(int target, @Nullable ConfigRouter to, Runnable deliver) {
        messages.add(new Message(target, to, deliver));
    }

    Optional<ConfigRouter> incarnation(String name) {
        for (ConfigRouter r : routers) {
            if (r.incarnation.equals(name)) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    private void store(long revision, int preset) {
        ConfigHead sample = Samples.head(revision);
        String active = PRESETS[preset % PRESETS.length];
        heads.add(new ConfigHead(revision, active, sample.presets(), sample.pools(), Map.of(), 30));
        checkInvariant(presets.putIfAbsent(revision, active) == null, "two heads with one revision");
        checkInvariant(heads.get(heads.size() - 1).presets().containsKey(active), "the preset in force is not defined");
    }

    private void restart(int index) {
        if (routers[index] != null) {
            routers[index].stopped = true;
        }
        routers[index] = new ConfigRouter(this, index, "r" + index + "-" + ++incarnations);
    }

    /**
     * Reads the head for an operator, or sends a change on condition of the revision that the operator last read. The
     * change can be lost.
     */
    private void operatorStep(int operator, boolean write) {
        if (!write) {
            operatorRead[operator] = head(0).revision();
            return;
        }
        long read = operatorRead[operator];
        send(PLATFORM, null, () -> {
            boolean applies = head(0).revision() == read || !newAdoption().conditionalUpdates();
            if (!outage && applies) {
                store(read + 1, (int) read + operator);
            }
        });
    }

    /** Performs one step. */
    void perform(Step s) {
        ConfigRouter r = routers[s.a() % routers.length];
        switch (s.kind()) {
            case DELIVER -> deliver(s.a());
            case DROP -> {
                if (!messages.isEmpty()) {
                    messages.remove(s.a() % messages.size());
                }
            }
            case OPERATOR -> operatorStep(s.a() % 2, s.b() % 2 == 0);
            case OUTAGE -> outage = !outage;
            case RESTART -> restart(s.a() % routers.length);
            case PAUSE -> r.paused = true;
            case RESUME -> r.paused = false;
            case ADVANCE -> clock.advance(Duration.ofMillis(250L * (1 + s.b() % 12)));
            default -> performAt(r, s);
        }
    }

    private void performAt(ConfigRouter r, Step s) {
        ConfigRouter other = routers[s.b() % routers.length];
        if (!r.active()) {
            return;
        }
        if (s.kind() == Kind.READ) {
            r.read(s.b() % 3);
        } else if (s.kind() == Kind.CHECK) {
            r.check();
        } else if (r != other && s.kind() == Kind.HEARTBEAT) {
            r.sendHeartbeat(other);
        } else if (r != other && s.kind() == Kind.UNLINK) {
            r.unlink(other.incarnation);
        }
    }

    private void deliver(int index) {
        if (messages.isEmpty()) {
            return;
        }
        int i = index % messages.size();
        Message m = messages.get(i);
        if (m.to() != null && m.to().paused && !m.to().stopped) {
            return;
        }
        messages.remove(i);
        if (m.to() == null || m.to().active()) {
            m.deliver().run();
        }
    }

    /**
     * Ends all faults (the platform outage only if {@code platformReturns}) and checks that the newest revision is
     * adopted and served after 19 s.
     */
    void quiesce(boolean platformReturns) {
        outage = !platformReturns;
        long expected = 0;
        for (ConfigRouter r : routers) {
            r.paused = false;
        }
        // Messages from stopped incarnations arrive before their connections close.
        deliverAll();
        for (ConfigRouter r : routers) {
            List.copyOf(r.links).stream().filter(p -> incarnation(p).isEmpty()).forEach(r::unlink);
            expected = Math.max(expected, r.serves() ? r.adoption.revision() : 0);
        }
        for (Duration t = Duration.ZERO; t.compareTo(ADOPTION_DEADLINE) < 0; t = t.plus(TICK)) {
            boolean heartbeatDue = t.toMillis() % 1_000 == 0;
            for (ConfigRouter r : routers) {
                r.check();
                r.read(0);
                for (ConfigRouter peer : routers) {
                    if (heartbeatDue && peer != r) {
                        r.sendHeartbeat(peer);
                    }
                }
            }
            deliverAll();
            clock.advance(TICK);
        }
        long newest = platformReturns ? head(0).revision() : expected;
        for (ConfigRouter r : routers) {
            if (newest == 0 || (outage && r.mustWaitForNewerThan(newest))) {
                continue;
            }
            checkInvariant(
                    r.serves() && r.adoption.revision() >= newest, "the newest revision is not in force after 19 s");
        }
    }

    private void deliverAll() {
        for (int i = 0; i < 10_000 && !messages.isEmpty(); i++) {
            deliver(0);
        }
        checkInvariant(messages.isEmpty(), "the routers do not stop sending");
    }
}
