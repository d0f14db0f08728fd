package io.hornbeamfield.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Searches all orders of events around a stream that instance X begins and that is taken up at instance Y, for one that
 * makes it go on at another version than the one that began it.
 */
final class OriginSearchTest {
    private static final String SERVICE = "model";
    private static final StreamId STREAM = new StreamId("plots", "a1");
    private static final ServiceVersion A = new ServiceVersion(SERVICE, "A");
    private static final ServiceVersion B = new ServiceVersion(SERVICE, "B");

    /** What can happen; an event that is impossible in a state changes nothing. */
    private enum Event {
        REGISTER_B,
        UNREGISTER_A,
        X_READS_REGISTRATIONS,
        Y_READS_REGISTRATIONS,
        X_WRITES,
        Y_WRITES,
        X_WRITES_WITHOUT_ANSWER,
        X_BEGINS_WITH_A,
        X_BEGINS_WITH_B,
        Y_IS_TOLD,
        X_KEEPS_THE_STREAM,
        X_IS_KILLED,
        Y_IS_KILLED,
        Y_IS_CUT_OFF,
        Y_IS_BACK,
        TAKE_UP_AT_Y,
        X_ANSWERS,
        Y_READS_THE_RECORD,
        Y_READS_THE_KEPT_STREAMS,
        TIMEOUT
    }

    private static final class Instance {
        private final ManualClock clock;
        private VersionRegistry registry;
        private StreamRecords records;
        private Set<ServiceVersion> seen = Set.of();

        Instance(ManualClock clock) {
            this.clock = clock;
            registry = new VersionRegistry(clock);
            records = new StreamRecords(clock);
        }

        void restart() {
            registry = new VersionRegistry(clock);
            records = new StreamRecords(clock);
            seen = Set.of();
        }

        boolean mayBegin(ServiceVersion v, boolean checked) {
            return seen.contains(v) && (!checked || registry.recorded().contains(v));
        }

        String state() {
            return registry.recorded() + "/" + seen + "/" + records.find(STREAM);
        }
    }

    private static final class World {
        private final ManualClock clock = ManualClock.atEpochSecond(1_000);
        private final boolean recordsBeforeUse;
        private final Instance x = new Instance(clock);
        private final Instance y = new Instance(clock);
        private final Set<ServiceVersion> registrations = new HashSet<>(Set.of(A));
        private VersionRecord record = VersionRecord.empty();
        private boolean cut;
        private @Nullable ServiceVersion begun;
        private @Nullable OriginLookup lookup;
        private boolean answered;
        private boolean read;
        /** Whether neither instance remembered the stream when X answered. */
        private boolean forgotten;

        private Optional<StreamOrigin> kept = Optional.empty();

        World(boolean recordsBeforeUse) {
            this.recordsBeforeUse = recordsBeforeUse;
            for (Instance i : List.of(x, y)) {
                read(i);
                write(i, true);
            }
        }

        private void read(Instance i) {
            i.seen = Set.copyOf(registrations);
            i.registry.registered(i.seen);
        }

        private void write(Instance i, boolean withAnswer) {
            record = i.registry.completed(record);
            if (withAnswer) {
                i.registry.confirmed(record);
            }
        }

        private void begin(ServiceVersion v) {
            if (begun == null && x.mayBegin(v, recordsBeforeUse)) {
                begun = v;
                x.records.add(STREAM, StreamOrigin.of(v.service(), v.version()));
            }
        }

        private void takeUp() {
            if (begun != null && lookup == null) {
                OriginLookup started = new OriginLookup(SERVICE, cut ? Set.of() : Set.of("X"));
                y.records.find(STREAM).ifPresent(o -> started.instanceAnswered("Y", Optional.of(o)));
                lookup = started;
            }
        }

        void apply(Event e) {
            OriginLookup l = lookup;
            switch (e) {
                case REGISTER_B -> registrations.add(B);
                case UNREGISTER_A -> registrations.remove(A);
                case X_READS_REGISTRATIONS -> read(x);
                case X_WRITES -> write(x, true);
                case X_WRITES_WITHOUT_ANSWER -> write(x, false);
                case X_BEGINS_WITH_A -> begin(A);
                case X_BEGINS_WITH_B -> begin(B);
                case X_KEEPS_THE_STREAM -> kept = x.records.find(STREAM).or(() -> kept);
                case X_IS_KILLED -> x.restart();
                case Y_IS_KILLED -> {
                    if (l == null) {
                        y.restart();
                    }
                }
                case Y_IS_CUT_OFF -> cut = true;
                case Y_IS_BACK -> cut = false;
                case TAKE_UP_AT_Y -> takeUp();
                case TIMEOUT -> {
                    if (l != null) {
                        l.timedOut();
                    }
                }
                case Y_READS_REGISTRATIONS,
                        Y_WRITES,
                        Y_IS_TOLD,
                        X_ANSWERS,
                        Y_READS_THE_RECORD,
                        Y_READS_THE_KEPT_STREAMS -> {
                    if (!cut) {
                        applyAtY(e);
                    }
                }
                default -> throw new IllegalStateException("Unexpected event " + e + ".");
            }
        }

        private void applyAtY(Event e) {
            OriginLookup l = lookup;
            if (e == Event.Y_READS_REGISTRATIONS) {
                read(y);
            } else if (e == Event.Y_WRITES) {
                write(y, true);
            } else if (e == Event.Y_IS_TOLD) {
                x.records.find(STREAM).ifPresent(o -> y.records.add(STREAM, o));
            } else if (e == Event.Y_READS_THE_KEPT_STREAMS) {
                readKept();
            } else if (l != null && e == Event.X_ANSWERS && !answered) {
                answered = true;
                forgotten = x.records.find(STREAM).isEmpty()
                        && y.records.find(STREAM).isEmpty();
                l.instanceAnswered("X", x.records.find(STREAM));
            } else if (l != null && e == Event.Y_READS_THE_RECORD && !read) {
                read = true;
                l.recordRead(
                        record, y.seen.stream().map(ServiceVersion::version).collect(Collectors.toSet()));
            }
        }

        private void readKept() {
            kept.ifPresent(o -> y.records.add(STREAM, o));
            OriginLookup l = lookup;
            if (l != null) {
                l.asked("store");
                l.instanceAnswered("store", y.records.find(STREAM));
            }
        }

        Optional<OriginLookup.Result> result() {
            return lookup == null ? Optional.empty() : lookup.result();
        }

        boolean joinsTwoVersions() {
            ServiceVersion began = begun;
            return began != null
                    && result().isPresent()
                    && result().get() instanceof OriginLookup.Result.Known known
                    && !known.version().equals(began.version());
        }

        String state() {
            return registrations + "|" + record + "|" + x.state() + "|" + y.state() + "|" + cut + begun + answered
                    + read + forgotten + kept + (lookup != null) + result();
        }
    }

    private static World replay(List<Event> events, boolean recordsBeforeUse) {
        World world = new World(recordsBeforeUse);
        events.forEach(world::apply);
        return world;
    }

    /** Returns the shortest order of events that leads to a state, empty if none does. */
    private static Optional<List<Event>> search(Predicate<World> wanted, boolean recordsBeforeUse) {
        Set<String> reached = new HashSet<>();
        Deque<List<Event>> open = new ArrayDeque<>();
        open.add(List.of());
        while (!open.isEmpty()) {
            List<Event> events = open.poll();
            for (Event e : Event.values()) {
                List<Event> next = new ArrayList<>(events);
                next.add(e);
                World world = replay(next, recordsBeforeUse);
                if (wanted.test(world)) {
                    return Optional.of(next);
                }
                if (reached.add(world.state())) {
                    open.add(next);
                }
            }
        }
        return Optional.empty();
    }

    private static boolean isKnown(World world) {
        return world.result().isPresent() && world.result().get() instanceof OriginLookup.Result.Known;
    }

    @Test
    void noOrderOfEventsLetsAStreamGoOnAtAnotherVersion() {
        assertThat(search(World::joinsTwoVersions, true)).isEmpty();
    }

    /** Shows that the search reaches the fault, if a version is used before the store has recorded it. */
    @Test
    void aVersionThatIsUsedBeforeItIsRecordedJoinsStreams() {
        assertThat(search(World::joinsTwoVersions, false)).isPresent();
    }

    @Test
    void aStreamGoesOnAfterItsInstanceWasKilledIfOneVersionServesOrAnotherInstanceWasTold() {
        assertThat(search(w -> isKnown(w) && !w.answered && w.record.of(SERVICE).size() == 1, true))
                .isPresent();
        assertThat(search(
                        w -> isKnown(w)
                                && !w.answered
                                && !w.read
                                && w.record.of(SERVICE).size() == 2,
                        true))
                .isPresent();
    }

    /** Guards against an instance that reads only before a take-up what the others have kept in the store. */
    @Test
    void aStreamGoesOnIfItsInstanceWasKilledUntoldAndTheStoreIsReadAfterTheTakeUp() {
        assertThat(search(
                        w -> isKnown(w)
                                && w.forgotten
                                && !w.read
                                && w.record.of(SERVICE).size() == 2,
                        true))
                .hasValueSatisfying(events -> assertThat(events).endsWith(Event.Y_READS_THE_KEPT_STREAMS));
    }

    @Test
    void aStreamOfWhichNobodyKnowsAnythingIsRefused() {
        assertThat(search(
                        w -> w.result().isPresent()
                                && w.result().get() instanceof OriginLookup.Result.Unknown
                                && w.answered
                                && w.read,
                        true))
                .isPresent();
    }
}
