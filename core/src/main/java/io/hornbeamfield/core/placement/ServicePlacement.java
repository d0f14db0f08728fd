package io.hornbeamfield.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects a server of a plain service: one with the lowest load from this instance's own requests, at random among
 * equals. Each instance knows only its own requests, so without the randomness many instances would pick the same
 * server.
 */
public final class ServicePlacement {
    private ServicePlacement() {}

    /** Selects a server, or none if there are no candidates. */
    public static Optional<Candidate> choose(List<Candidate> candidates, RandomGenerator random) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        double lowestLoad =
                candidates.stream().mapToDouble(ServicePlacement::load).min().orElse(0);
        List<Candidate> best = new ArrayList<>();
        for (Candidate c : candidates) {
            if (load(c) <= lowestLoad) {
                best.add(c);
            }
        }
        return Optional.of(best.get(random.nextInt(best.size())));
    }

    private static double load(Candidate c) {
        return c.outstanding() / (double) Math.max(1, c.slots());
    }
}
