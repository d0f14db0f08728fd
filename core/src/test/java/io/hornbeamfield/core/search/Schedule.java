package io.hornbeamfield.core.search;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/** Runs random or exhaustive schedules and shrinks those that violate an invariant to a minimal reproduction. */
record Schedule(Simulation.Size size, Step.Profile profile, Supplier<Mechanisms> mechanisms) {
    /** A schedule that violates an invariant. The seed is -1 if it was found by exhaustive search. */
    record Found(long seed, List<Step> steps, String message) {
        @Override
        public String toString() {
            return message + "\nseed " + seed + "\nschedule " + steps;
        }
    }

    /** Creates schedules of all kinds of steps, with routers that start without tokens. */
    static Schedule everything(Supplier<Mechanisms> mechanisms) {
        return new Schedule(new Simulation.Size(3, 2, 4, 0), Step.Profile.EVERYTHING, mechanisms);
    }

    /** Creates schedules of requests and billing, with routers that start with tokens. */
    static Schedule billing(Supplier<Mechanisms> mechanisms) {
        return new Schedule(new Simulation.Size(3, 1, 2, 20), Step.Profile.BILLING, mechanisms);
    }

    /** Runs a schedule and returns the message of the first violation, if any. */
    Optional<String> run(List<Step> steps, boolean quiesce) {
        Simulation simulation = new Simulation(size, mechanisms.get());
        try {
            for (Step step : steps) {
                if (simulation.perform(step)) {
                    simulation.check();
                }
            }
            if (quiesce) {
                simulation.quiesce();
                simulation.check();
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

    /** Runs random schedules with seeds from 0 and returns the violation with the lowest seed, shrunk. */
    Optional<Found> search(long seeds, int length) {
        return LongStream.range(0, seeds)
                .parallel()
                .filter(seed -> run(random(seed, length), true).isPresent())
                .boxed()
                .findFirst()
                .map(seed -> shrink(seed, random(seed, length)));
    }

    /** Removes steps while the schedule still violates an invariant. */
    private Found shrink(long seed, List<Step> steps) {
        List<Step> shrunk = new ArrayList<>(steps);
        for (int width = Math.max(1, shrunk.size() / 2); width >= 1; width /= 2) {
            for (int at = 0; at + width <= shrunk.size(); ) {
                List<Step> shorter = new ArrayList<>(shrunk.subList(0, at));
                shorter.addAll(shrunk.subList(at + width, shrunk.size()));
                if (run(shorter, true).isPresent()) {
                    shrunk = shorter;
                } else {
                    at++;
                }
            }
        }
        return new Found(seed, shrunk, run(shrunk, true).orElse("not repeatable"));
    }

    /** The result of an exhaustive search. */
    record Exhausted(long schedules, Optional<Found> found) {}

    /** Runs the prefix followed by every sequence of possible steps up to the given depth. */
    Exhausted exhaust(List<Step> prefix, List<Step> alphabet, int depth) {
        List<Exhausted> parts = alphabet.parallelStream()
                .flatMap(first -> alphabet.stream().map(second -> {
                    List<Step> steps = new ArrayList<>(prefix);
                    steps.add(first);
                    if (!isLastStepPossible(steps)) {
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

    private boolean isLastStepPossible(List<Step> steps) {
        Simulation simulation = new Simulation(size, mechanisms.get());
        boolean last = false;
        for (Step step : steps) {
            last = simulation.perform(step);
        }
        return last;
    }

    private Exhausted explore(List<Step> steps, List<Step> alphabet, int remainingDepth) {
        if (!isLastStepPossible(steps)) {
            return new Exhausted(0, Optional.empty());
        }
        Optional<String> violated = run(steps, true);
        if (violated.isPresent()) {
            return new Exhausted(1, Optional.of(new Found(-1, List.copyOf(steps), violated.get())));
        }
        long schedules = 1;
        for (Step next : remainingDepth > 0 ? alphabet : List.<Step>of()) {
            steps.add(next);
            Exhausted below = explore(steps, alphabet, remainingDepth - 1);
            steps.remove(steps.size() - 1);
            schedules += below.schedules();
            if (below.found().isPresent()) {
                return new Exhausted(schedules, below.found());
            }
        }
        return new Exhausted(schedules, Optional.empty());
    }
}
