package io.hornbeamfield.core.search;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/** Runs schedules, at random or exhaustively, and shrinks those that violate an invariant. */
record Schedule(World.Size size, Step.Profile profile, Supplier<Mechanisms> mechanisms) {
    /** A schedule that violates an invariant; the seed is -1 if it was found exhaustively. */
    record Found(long seed, List<Step> steps, String message) {
        @Override
        public String toString() {
            return message + "\nseed " + seed + "\nschedule " + steps;
        }
    }

    /** All steps, on routers that start without tokens. */
    static Schedule everything(Supplier<Mechanisms> mechanisms) {
        return new Schedule(new World.Size(3, 2, 4, 0), Step.Profile.EVERYTHING, mechanisms);
    }

    /** Requests and billing, on routers that have tokens. */
    static Schedule billing(Supplier<Mechanisms> mechanisms) {
        return new Schedule(new World.Size(3, 1, 2, 20), Step.Profile.BILLING, mechanisms);
    }

    /** Returns what the schedule violates, if anything. */
    Optional<String> run(List<Step> steps, boolean settle) {
        World world = new World(size, mechanisms.get());
        try {
            for (Step step : steps) {
                if (world.perform(step)) {
                    world.check();
                }
            }
            if (settle) {
                world.settle();
                world.check();
            }
            return Optional.empty();
        } catch (Violation v) {
            return Optional.of(String.valueOf(v.getMessage()));
        }
    }

    private List<Step> random(long seed, int length) {
        SplittableRandom random = new SplittableRandom(seed);
        return IntStream.range(0, length).mapToObj(i -> profile.step(random)).toList();
    }

    /** Runs random schedules with the seeds from 0 and returns the first violation in order of the seed, shrunk. */
    Optional<Found> search(long seeds, int length) {
        return LongStream.range(0, seeds)
                .parallel()
                .filter(seed -> run(random(seed, length), true).isPresent())
                .boxed()
                .findFirst()
                .map(seed -> shrink(seed, random(seed, length)));
    }

    /** Removes steps as long as an invariant is still violated. */
    private Found shrink(long seed, List<Step> steps) {
        List<Step> left = new ArrayList<>(steps);
        for (int width = Math.max(1, left.size() / 2); width >= 1; width /= 2) {
            for (int at = 0; at + width <= left.size(); ) {
                List<Step> shorter = new ArrayList<>(left.subList(0, at));
                shorter.addAll(left.subList(at + width, left.size()));
                if (run(shorter, true).isPresent()) {
                    left = shorter;
                } else {
                    at++;
                }
            }
        }
        return new Found(seed, left, run(left, true).orElse("not repeatable"));
    }

    /** The result of an exhaustive search. */
    record Exhausted(long schedules, Optional<Found> found) {}

    /** Runs the prefix followed by every schedule of possible steps up to the depth. */
    Exhausted exhaust(List<Step> prefix, List<Step> alphabet, int depth) {
        List<Exhausted> parts = alphabet.parallelStream()
                .flatMap(first -> alphabet.stream().map(second -> {
                    List<Step> steps = new ArrayList<>(prefix);
                    steps.add(first);
                    if (!lastIsPossible(steps)) {
                        return new Exhausted(0, Optional.empty());
                    }
                    steps.add(second);
                    return explore(steps, alphabet, depth - 2);
                }))
                .toList();
        return new Exhausted(
                parts.stream().mapToLong(Exhausted::schedules).sum(),
                parts.stream().flatMap(p -> p.found().stream()).findFirst());
    }

    private boolean lastIsPossible(List<Step> steps) {
        World world = new World(size, mechanisms.get());
        boolean last = false;
        for (Step step : steps) {
            last = world.perform(step);
        }
        return last;
    }

    private Exhausted explore(List<Step> steps, List<Step> alphabet, int more) {
        if (!lastIsPossible(steps)) {
            return new Exhausted(0, Optional.empty());
        }
        Optional<String> violated = run(steps, true);
        if (violated.isPresent()) {
            return new Exhausted(1, Optional.of(new Found(-1, List.copyOf(steps), violated.get())));
        }
        long schedules = 1;
        for (Step next : more > 0 ? alphabet : List.<Step>of()) {
            steps.add(next);
            Exhausted below = explore(steps, alphabet, more - 1);
            steps.remove(steps.size() - 1);
            schedules += below.schedules();
            if (below.found().isPresent()) {
                return new Exhausted(schedules, below.found());
            }
        }
        return new Exhausted(schedules, Optional.empty());
    }
}
