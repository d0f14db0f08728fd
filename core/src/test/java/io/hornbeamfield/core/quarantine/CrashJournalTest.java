package io.hornbeamfield.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against evidence that outlives its time, grows without a bound or is lost with a restart. */
final class CrashJournalTest {
    private final ManualClock clock = ManualClock.atEpochSecond(1_000_000);
    private final PartActivity activity = new PartActivity(clock);
    private final CrashJournal journal = new CrashJournal(clock, activity);

    private void crashes(int count, String... parts) {
        for (int i = 1; i <= count; i++) {
            journal.serverCrashed("model", "s" + i, List.of(parts));
        }
    }

    private boolean refuses(String... parts) {
        return journal.assess().culpritIn("model", List.of(parts)).isPresent();
    }

    @Test
    void aPartThatIsServedAllTheTimeIsNotReported() {
        activity.recordServed(List.of("rules"));
        crashes(3, "rules", "dead");
        assertThat(journal.own().crashes().get(0).requests()).containsExactly(Set.of("dead"));
        assertThat(refuses("dead")).isTrue();
    }

    @Test
    void aPartThatIsServedAfterItsCrashesIsExoneratedForAllInstances() {
        crashes(3, "subject", "dead");
        assertThat(refuses("subject", "dead")).isTrue();
        clock.advance(Duration.ofSeconds(30));
        activity.recordServed(List.of("subject"));
        assertThat(refuses("dead")).isTrue();
        assertThat(journal.own().exonerated()).isEqualTo(Map.of("subject", Set.of("s1", "s2", "s3")));
    }

    @Test
    void evidenceEndsAnHourAfterTheLastRefusalBecauseOfIt() {
        crashes(3, "dead");
        clock.advance(Duration.ofMinutes(50));
        activity.recordRefused(Set.of("dead"));
        clock.advance(Duration.ofMinutes(50));
        assertThat(refuses("dead")).isTrue();
        clock.advance(Duration.ofMinutes(11));
        assertThat(refuses("dead")).isFalse();
        assertThat(journal.own().crashes()).isEmpty();
    }

    /** Guards against instances that remove the reports of others that only say which parts were served. */
    @Test
    void evidenceThatOnlyExoneratesLastsAsLongAsTheCrashes() {
        crashes(3, "subject", "dead");
        CrashEvidence served = new CrashEvidence(List.of(), Map.of("subject", Set.of("s1", "s2")));
        assertThat(journal.isExpired(served)).isFalse();
        clock.advance(Duration.ofMinutes(61));
        assertThat(journal.isExpired(served)).isTrue();
    }

    @Test
    void aRestartedInstanceContinuesWithItsEvidenceAndThatOfTheOthers() {
        crashes(2, "dead");
        CrashJournal restarted = new CrashJournal(clock, new PartActivity(clock));
        restarted.restore(journal.own());
        restarted.othersReported(List.of(
                new CrashEvidence(List.of(new CrashReport("model", "s9", List.of(Set.of("dead")))), Map.of())));
        assertThat(restarted.assess().culpritIn("model", List.of("dead"))).isPresent();
    }

    @Test
    void theNumberOfCrashesAndRequestsIsBounded() {
        for (int i = 0; i < 5_000; i++) {
            journal.serverCrashed("model", "s" + i % 500, List.of("part" + i));
        }
        assertThat(journal.own().crashes()).hasSizeLessThanOrEqualTo(32);
        assertThat(journal.own().crashes())
                .allSatisfy(r -> assertThat(r.requests()).hasSizeLessThanOrEqualTo(32));
        List<CrashEvidence> many = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            many.add(new CrashEvidence(List.of(new CrashReport("model", "o" + i, List.of(Set.of("x")))), Map.of()));
        }
        journal.othersReported(many);
        assertThat(journal.knownCrashes()).isLessThanOrEqualTo(1_024);
    }

    /** Guards against refusing nearly all requests after several servers were lost at the same moment. */
    @Test
    void serversThatAreLostTogetherDoNotMakeAPartThatIsInMostRequestsACulprit() {
        activity.recordServed(List.of("rules"));
        clock.advance(Duration.ofSeconds(3));
        List<CrashEvidence> others = new ArrayList<>();
        for (int i = 1; i <= 7; i++) {
            others.add(new CrashEvidence(
                    List.of(new CrashReport("model", "s" + i, List.of(Set.of("rules", "own" + i)))), Map.of()));
        }
        journal.othersReported(others);
        assertThat(refuses("rules", "another")).isFalse();
    }
}
