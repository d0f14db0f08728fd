package io.hornbeamfield.core.identity;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.result.Ran;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests invariants P4 and P5: a key runs at most once, and never after it was refused as not run. */
class RequestRegistryTest {
    private static final String SELF = "r1-00000001";

    private final ManualClock clock = ManualClock.atEpochSecond(10_000);
    private final RequestRegistry<String> registry =
            new RequestRegistry<>(SELF, clock, new RegistryLimits(3, 20, 15, Duration.ofSeconds(600)), String::length);

    private static RequestKey key(String nonce) {
        return new RequestKey(SELF, 10_000, nonce);
    }

    private Admission<String> admit(String nonce) {
        return registry.admit(key(nonce), "w", "body");
    }

    private static ResultCode code(Admission<String> admission) {
        return ((Admission.Refused<String>) admission).refusal().code();
    }

    private static boolean runs(Admission<String> admission) {
        return admission instanceof Admission.Run<String>;
    }

    @Test
    void aSecondAttemptJoinsTheRunningRequestAndGetsItsOutcome() {
        assertThat(runs(admit("aaaaaaaa"))).isTrue();
        List<Result<String>> results = new ArrayList<>();
        ((Admission.Join<String>) admit("aaaaaaaa")).result().thenAccept(results::add);
        assertThat(results).isEmpty();
        registry.complete(key("aaaaaaaa"), "w", "answer");
        assertThat(results).containsExactly(Result.ok("answer"));
        assertThat(admit("aaaaaaaa")).isEqualTo(new Admission.Replay<>("answer"));
    }

    @Test
    void aRefusedKeyStaysRefused() {
        admit("aaaaaaaa");
        Refusal refusal = Refusal.of(ResultCode.BUDGET_BUSY, "Retry later.");
        assertThat(registry.refuse(key("aaaaaaaa"), "w", "body", refusal)).isEqualTo(refusal);
        assertThat(admit("aaaaaaaa")).isEqualTo(new Admission.Refused<>(refusal));
    }

    @Test
    void aKeyThatWasRefusedBeforeItWasAdmittedStaysRefused() {
        registry.refuse(key("aaaaaaaa"), "w", "body", Refusal.of(ResultCode.LEAVING, "The router stops."));
        assertThat(code(admit("aaaaaaaa"))).isEqualTo(ResultCode.LEAVING);
    }

    @Test
    void anotherBodyUnderTheSameKeyIsRefused() {
        admit("aaaaaaaa");
        assertThat(code(registry.admit(key("aaaaaaaa"), "w", "other"))).isEqualTo(ResultCode.KEY_REUSED);
    }

    @Test
    void workspacesDoNotShareKeys() {
        admit("aaaaaaaa");
        assertThat(runs(registry.admit(key("aaaaaaaa"), "other", "body"))).isTrue();
    }

    @Test
    void aKeyOfAnotherIncarnationIsSentToItsOwner() {
        RequestKey otherOwners = new RequestKey("r2-00000002", 10_000, "aaaaaaaa");
        assertThat(registry.admit(otherOwners, "w", "body")).isEqualTo(new Admission.RelayToOwner<>("r2-00000002"));
    }

    @Test
    void aRefusalInPlaceOfAnUnreachableOwnerStatesThatTheOutcomeIsUnknown() {
        RequestKey otherOwners = new RequestKey("r2-00000002", 10_000, "aaaaaaaa");
        assertThat(runs(registry.admitForUnreachableOwner(otherOwners, "w", "body")))
                .isTrue();
        Refusal refusal = registry.refuse(otherOwners, "w", "body", Refusal.of(ResultCode.BUDGET_BUSY, "No tokens."));
        assertThat(refusal.code().ran()).isEqualTo(Ran.UNKNOWN);
    }

    @Test
    void aKeyExpiresByItsIssueTimeAndOnlyThenIsItsEntryRemoved() {
        admit("aaaaaaaa");
        registry.complete(key("aaaaaaaa"), "w", "answer");
        clock.advance(Duration.ofSeconds(600));
        assertThat(admit("aaaaaaaa")).isInstanceOf(Admission.Replay.class);
        clock.advance(Duration.ofSeconds(1));
        assertThat(code(admit("aaaaaaaa"))).isEqualTo(ResultCode.KEY_EXPIRED);
        assertThat(registry.size()).isZero();
        assertThat(registry.outcomeBytes()).isZero();
    }

    @Test
    void aRequestThatRunsLongerThanTheKeyLivesCanStillBeJoined() {
        admit("aaaaaaaa");
        clock.advance(Duration.ofSeconds(900));
        assertThat(admit("aaaaaaaa")).isInstanceOf(Admission.Join.class);
        registry.complete(key("aaaaaaaa"), "w", "answer");
        assertThat(registry.size()).isZero();
    }

    @Test
    void aKeyFromTheFutureIsRefusedAndDoesNotRunWhenItsTimeHasCome() {
        RequestKey future = new RequestKey(SELF, 10_061, "aaaaaaaa");
        assertThat(code(registry.admit(future, "w", "body"))).isEqualTo(ResultCode.KEY_MALFORMED);
        clock.advance(Duration.ofSeconds(30));
        assertThat(runs(registry.admit(future, "w", "body"))).isFalse();
        assertThat(runs(admit("bbbbbbbb")) || runs(admit("cccccccc"))).isTrue();
    }

    @Test
    void aKeyFromTheFutureThatIsRefusedBeforeItWasAdmittedTakesNoEntry() {
        RequestKey future = new RequestKey(SELF, 99_000, "aaaaaaaa");
        registry.refuse(future, "w", "body", Refusal.of(ResultCode.LEAVING, "The router stops."));
        assertThat(registry.size()).isZero();
        clock.advance(Duration.ofSeconds(89_000));
        assertThat(runs(registry.admit(future, "w", "body"))).isFalse();
    }

    @Test
    void aKeyRefusedByAFullRegistryDoesNotRunWhenThereIsRoomAgain() {
        RequestKey old = new RequestKey(SELF, 9_500, "aaaaaaaa");
        registry.admit(old, "w", "body");
        registry.complete(old, "w", "answer");
        admit("bbbbbbbb");
        admit("cccccccc");
        assertThat(code(admit("dddddddd"))).isEqualTo(ResultCode.REGISTRY_FULL);
        clock.advance(Duration.ofSeconds(200));
        assertThat(code(admit("dddddddd"))).isEqualTo(ResultCode.REGISTRY_FULL);
        assertThat(registry.size()).isEqualTo(2);
        assertThat(runs(registry.admit(new RequestKey(SELF, 10_200, "dddddddd"), "w", "body")))
                .isTrue();
    }

    @Test
    void anOutcomeThatIsTooLargeOrPushedOutIsUnknownButTheKeyDoesNotRunAgain() {
        admit("aaaaaaaa");
        registry.complete(key("aaaaaaaa"), "w", "x".repeat(16));
        assertThat(code(admit("aaaaaaaa"))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        admit("bbbbbbbb");
        registry.complete(key("bbbbbbbb"), "w", "x".repeat(12));
        admit("cccccccc");
        registry.complete(key("cccccccc"), "w", "x".repeat(12));
        assertThat(code(admit("bbbbbbbb"))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(admit("cccccccc")).isInstanceOf(Admission.Replay.class);
        assertThat(registry.outcomeBytes()).isEqualTo(12);
    }

    @Test
    void keysAreReadInTheirTextFormOnly() {
        RequestKey key = new RequestKey("east-1-0f3a9c21", 1_790_000_000, "k7Wm2QpX");
        assertThat(RequestKey.parse(key.text())).isEqualTo(Result.ok(key));
        for (String text :
                List.of("", "a.1.k7Wm2QpX", "r1-00000001.x.k7Wm2QpX", "r1-00000001.1.short", "r1-00000001.1.")) {
            assertThat(RequestKey.parse(text)).isInstanceOf(Result.Refused.class);
        }
    }
}
