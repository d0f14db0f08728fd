package io.hornbeamfield.core.search;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.search.Step.Kind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Searches random and exhaustive fault schedules for violations of the invariants P1, P2, P4 and P5. */
class DecisionLogicSearchTest {
    private static final long SCHEDULES = Long.getLong("search.schedules", 100_000);
    private static final int LENGTH = 150;

    private static void assertNoViolation(String name, Schedule schedule) {
        long start = System.nanoTime();
        var found = schedule.search(SCHEDULES, LENGTH);
        System.out.printf("%s: %d schedules in %.1f s%n", name, SCHEDULES, (System.nanoTime() - start) / 1e9);
        assertThat(found).isEmpty();
    }

    @Test
    void randomSchedulesOfAllStepsKeepTheInvariants() {
        assertNoViolation("all steps", Schedule.everything(Mechanisms::new));
    }

    @Test
    void randomSchedulesOfBillingKeepTheInvariants() {
        assertNoViolation("billing", Schedule.billing(Mechanisms::new));
    }

    private static void assertExhausted(
            String name, Schedule schedule, List<Step> prefix, List<Step> steps, int depth) {
        long start = System.nanoTime();
        var result = schedule.exhaust(prefix, steps, depth);
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf("%s: %d schedules to depth %d in %.1f s%n", name, result.schedules(), depth, seconds);
        assertThat(result.found()).isEmpty();
        assertThat(result.schedules()).isGreaterThan(100_000);
    }

    @Test
    void everyShortScheduleOfTwoRoutersAndOneBudgetKeepsTheInvariants() {
        List<Step> steps = new ArrayList<>(List.of(
                new Step(Kind.TRANSFER, 1, 0, 0),
                new Step(Kind.TRANSFER, 0, 0, 1),
                new Step(Kind.DELIVER, 0, 0, 0),
                new Step(Kind.DELIVER, 1, 0, 0),
                new Step(Kind.DUPLICATE, 0, 0, 0),
                new Step(Kind.DROP, 0, 0, 0),
                new Step(Kind.TOP_UP, 0, 0, 0)));
        for (int r = 0; r < 2; r++) {
            steps.add(new Step(Kind.TAKE, r, 0, 3));
            steps.add(new Step(Kind.RETURN, r, 0, 1));
            steps.add(new Step(Kind.READ, r, 0, 1));
            steps.add(new Step(Kind.CLOSE, r, 0, 0));
            steps.add(new Step(Kind.TIMEOUT, r, 0, 2));
        }
        var schedule = new Schedule(new Simulation.Size(2, 1, 0, 30), Step.Profile.EVERYTHING, Mechanisms::new);
        assertExhausted("one budget", schedule, List.of(), steps, 6);
    }

    private static List<Step> threeRoutersRanTheSameRequest() {
        List<Step> prefix = new ArrayList<>();
        for (int router : List.of(0, 1, 2)) {
            prefix.add(new Step(Kind.SEND, router, 0, 0));
            prefix.add(new Step(Kind.DELIVER, 0, 0, 0));
            prefix.add(new Step(Kind.GIVE_UP, 0, 0, 0));
            prefix.add(new Step(router == 0 ? Kind.PAUSE : Kind.FINISH, router, 0, 0));
            prefix.add(new Step(Kind.DROP, 0, 0, 0));
        }
        prefix.add(new Step(Kind.RESUME, 0, 0, 0));
        prefix.add(new Step(Kind.FINISH, 0, 0, 0));
        return prefix;
    }

    private static List<Step> billingSteps() {
        List<Step> steps = new ArrayList<>(List.of(
                new Step(Kind.DELIVER, 0, 0, 0),
                new Step(Kind.DELIVER, 1, 0, 0),
                new Step(Kind.DROP, 0, 0, 0),
                new Step(Kind.CRASH, 1, 0, 0)));
        for (int r = 0; r < 3; r++) {
            steps.add(new Step(Kind.FLUSH, r, 0, 0));
            steps.add(new Step(Kind.TAKEOVER, r, 0, 0));
            steps.add(new Step(Kind.TIMEOUT, r, 0, 0));
            steps.add(new Step(Kind.TIMEOUT, r, 0, 1));
        }
        return steps;
    }

    @Test
    void everyShortScheduleOfThreeRoutersThatRanTheSameRequestKeepsTheInvariants() {
        assertExhausted(
                "one request", Schedule.billing(Mechanisms::new), threeRoutersRanTheSameRequest(), billingSteps(), 7);
    }

    @Test
    void theExhaustiveSearchFindsBillsWithoutATakeover() {
        var faulty = Schedule.billing(() -> new Mechanisms() {
            @Override
            boolean takesOverBeforeBilling() {
                return false;
            }
        });
        assertThat(faulty.run(threeRoutersRanTheSameRequest(), true))
                .hasValueSatisfying(message -> assertThat(message).contains("has 3 bills"));
        assertThat(faulty.exhaust(threeRoutersRanTheSameRequest(), billingSteps(), 2)
                        .found())
                .isPresent();
    }
}
