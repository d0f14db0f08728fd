package io.hornbeamfield.core.search;

import java.util.Arrays;
import java.util.Collections;
import java.util.random.RandomGenerator;

/** One step of a schedule. A step that is not possible in the current state has no effect. */
record Step(Kind kind, int a, int b, int c) {
    /** The kinds of steps, each with its weight in random schedules for every {@link Profile}. */
    enum Kind {
        DELIVER(40, 40),
        SEND(10, 12),
        FINISH(8, 6),
        TAKE(8, 0),
        RETURN(4, 0),
        READ(3, 0),
        TRANSFER(5, 0),
        FLUSH(6, 5),
        TAKEOVER(8, 16),
        TIMEOUT(3, 4),
        GIVE_UP(3, 8),
        DROP(2, 1),
        DUPLICATE(3, 1),
        TOP_UP(2, 0),
        CLOSE(2, 0),
        CRASH(1, 1),
        PAUSE(2, 5),
        RESUME(3, 5),
        PARTITION(2, 4),
        RELEASE(3, 0),
        ADVANCE(1, 0);

        private final int[] weights;

        Kind(int... weights) {
            this.weights = weights;
        }
    }

    /** The distribution of step kinds in random schedules. */
    enum Profile {
        /** All kinds of steps. */
        EVERYTHING,
        /** Requests, failures and billing; the routers initially hold tokens. */
        BILLING;

        private final Kind[] weightedKinds;

        Profile() {
            weightedKinds = Arrays.stream(Kind.values())
                    .flatMap(k -> Collections.nCopies(k.weights[ordinal()], k).stream())
                    .toArray(Kind[]::new);
        }

        Step step(RandomGenerator random) {
            Kind kind = weightedKinds[random.nextInt(weightedKinds.length)];
            return new Step(kind, random.nextInt(12), random.nextInt(12), random.nextInt(12));
        }
    }

    @Override
    public String toString() {
        return kind + "(" + a + "," + b + "," + c + ")";
    }
}
