package io.hornbeamfield.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.result.Ran;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against starvation, against requests that wait beyond their deadline, and against two decisions on one. */
class AdmissionQueueTest {
    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final AdmissionQueue queue = new AdmissionQueue(clock);
    private final List<String> started = new ArrayList<>();
    private final Map<String, AdmissionSlot> slots = new LinkedHashMap<>();
    private final Map<String, Refusal> refused = new LinkedHashMap<>();

    @BeforeEach
    void oneSlotAndTenQueuePlaces() {
        queue.updateLimits(1, 10, Priority.LOW);
    }

    private AdmissionQueue.Pending submit(String name, String workspace, Priority priority, Deadline deadline) {
        return queue.submit(new AdmissionRequest(workspace, priority, deadline, 100), new AdmissionCallback() {
            @Override
            public void start(AdmissionSlot slot) {
                assertThat(refused).doesNotContainKey(name);
                started.add(name);
                assertThat(slots.put(name, slot)).isNull();
            }

            @Override
            public void refuse(Refusal refusal) {
                assertThat(started).doesNotContain(name);
                assertThat(refusal.code().ran()).isEqualTo(Ran.NO);
                assertThat(refused.put(name, refusal)).isNull();
            }
        });
    }

    private void submit(String name, String workspace) {
        submit(name, workspace, Priority.NORMAL, Deadline.none());
    }

    private void finish(String name, long heldMillis) {
        clock.advance(Duration.ofMillis(heldMillis));
        slots.get(name).finished();
    }

    private Deadline in(long millis) {
        return Deadline.after(Duration.ofMillis(millis), clock);
    }

    @Test
    void priorityComesFirstAndThenTheEarliestDeadlineOfAWorkspace() {
        submit("first", "w");
        submit("low", "w", Priority.LOW, in(10));
        submit("late", "w", Priority.NORMAL, in(900));
        submit("early", "w", Priority.NORMAL, in(500));
        submit("high", "w", Priority.HIGH, Deadline.none());
        for (String name : List.of("first", "high", "early", "late")) {
            finish(name, 0);
        }
        assertThat(started).containsExactly("first", "high", "early", "late", "low");
    }

    @Test
    void aLargeWorkspaceDoesNotMakeASmallOneWaitForItsWholeQueue() {
        for (int i = 0; i < 8; i++) {
            submit("large-" + i, "large");
        }
        submit("small-0", "small");
        submit("small-1", "small");
        finish("large-0", 1);
        finish(started.get(1), 1);
        finish(started.get(2), 1);
        finish(started.get(3), 1);
        assertThat(started.subList(1, 5)).contains("small-0", "small-1");
    }

    @Test
    void aRequestThatWouldEndAfterItsDeadlineIsRefusedAtOnce() {
        submit("measured", "w");
        finish("measured", 1_000);
        submit("running", "w");
        submit("waiting", "w", Priority.NORMAL, in(3_500));
        submit("hopeless", "w", Priority.NORMAL, in(1_500));
        assertThat(refused).containsOnlyKeys("hopeless");
        assertThat(refused.get("hopeless").code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(refused.get("hopeless").retryAfterSeconds()).hasValue(1);
    }

    @Test
    void aWaitingRequestIsRefusedBeforeItsDeadlineWhenTheSlotStaysTaken() {
        submit("measured", "w");
        finish("measured", 500);
        submit("stuck", "w");
        submit("waiting", "w", Priority.NORMAL, in(2_000));
        clock.advance(Duration.ofMillis(1_499));
        queue.tick();
        assertThat(refused).isEmpty();
        clock.advance(Duration.ofMillis(2));
        queue.tick();
        assertThat(refused).containsOnlyKeys("waiting");
        slots.get("stuck").finished();
        assertThat(started).doesNotContain("waiting");
    }

    @Test
    void requestsCutOffLateRaiseTheEstimateAndQuickFailuresDoNotLowerIt() {
        submit("measured", "w");
        finish("measured", 1_000);
        submit("failed", "w");
        slots.get("failed").close();
        submit("cut-off", "w");
        clock.advance(Duration.ofMillis(5_000));
        slots.get("cut-off").close();
        submit("running", "w");
        submit("waiting", "w", Priority.NORMAL, in(3_500));
        submit("hopeless", "w", Priority.NORMAL, in(2_500));
        assertThat(refused).containsOnlyKeys("hopeless");
    }

    @Test
    void aFreeSlotIsGivenEvenToADeadlineThatIsShorterThanTheMean() {
        submit("measured", "w");
        finish("measured", 5_000);
        submit("short", "w", Priority.NORMAL, in(50));
        submit("passed", "w", Priority.NORMAL, in(0));
        assertThat(started).contains("short");
        assertThat(refused.get("passed").code()).isEqualTo(ResultCode.DEADLINE_PASSED);
    }

    @Test
    void aFullQueueEvictsALowerPriorityForAHigherOne() {
        queue.updateLimits(1, 2, Priority.LOW);
        submit("running", "w");
        submit("normal", "w");
        submit("low", "w", Priority.LOW, Deadline.none());
        submit("high", "w", Priority.HIGH, Deadline.none());
        submit("one-more", "w");
        assertThat(refused).containsOnlyKeys("low", "one-more");
    }

    @Test
    void aFullQueueEvictsTheLastRequestOfTheLargestWorkspaceForASmallOne() {
        queue.updateLimits(1, 3, Priority.LOW);
        for (int i = 0; i < 4; i++) {
            submit("large-" + i, "large");
        }
        submit("small", "small");
        assertThat(refused).containsOnlyKeys("large-3");
    }

    @Test
    void priorityBelowThePresetsIsShed() {
        queue.updateLimits(5, 5, Priority.NORMAL);
        submit("low", "w", Priority.LOW, Deadline.none());
        assertThat(refused).containsOnlyKeys("low");
    }

    @Test
    void aCancelledRequestGetsNoDecisionAndAStartedOneCannotBeCancelled() {
        AdmissionQueue.Pending running = submit("running", "w", Priority.NORMAL, Deadline.none());
        AdmissionQueue.Pending waiting = submit("waiting", "w", Priority.NORMAL, Deadline.none());
        assertThat(running.cancel()).isFalse();
        assertThat(waiting.cancel()).isTrue();
        finish("running", 1);
        assertThat(started).containsExactly("running");
        assertThat(queue.running()).isZero();
    }

    @Test
    void aSlotIsReleasedOnceHoweverOftenItIsClosed() {
        submit("a", "w");
        submit("b", "w");
        submit("c", "w");
        slots.get("a").close();
        slots.get("a").finished();
        slots.get("a").close();
        assertThat(started).containsExactly("a", "b");
    }

    @Test
    void aCallbackThatThrowsDoesNotPreventOtherDecisions() {
        submit("running", "w");
        for (int i = 0; i < 2; i++) {
            queue.submit(new AdmissionRequest("w", Priority.NORMAL, in(10), 1), new AdmissionCallback() {
                @Override
                public void start(AdmissionSlot slot) {}

                @Override
                public void refuse(Refusal refusal) {
                    throw new IllegalStateException("callback failed");
                }
            });
        }
        submit("waiting", "w", Priority.NORMAL, in(10));
        clock.advance(Duration.ofMillis(10));
        assertThatIllegalStateException().isThrownBy(queue::tick);
        assertThat(refused).containsOnlyKeys("waiting");
        assertThat(queue.waiting()).isZero();
    }

    @Test
    void aRaisedLimitStartsWaitingRequests() {
        submit("a", "w");
        submit("b", "w");
        queue.updateLimits(2, 10, Priority.LOW);
        assertThat(started).containsExactly("a", "b");
    }
}
