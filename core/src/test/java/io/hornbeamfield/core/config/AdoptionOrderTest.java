package io.hornbeamfield.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Tests that late, repeated or stale messages in any order never revert the adopted revision. */
class AdoptionOrderTest {
    @Property(tries = 300)
    void noOrderOfMessagesRevertsTheRevisionOrServingAndOnlyNewerRevisionsAreFetched(
            @ForAll @Size(max = 60) List<@IntRange(max = 59) Integer> messages) {
        ManualClock clock = ManualClock.atEpochSecond(0);
        ConfigAdoption adoption = new ConfigAdoption(clock);
        long before = 0;
        boolean served = false;
        for (int message : messages) {
            long revision = 1 + message / 6;
            switch (message % 6) {
                case 0 -> adoption.platformReported(revision);
                case 1 -> adoption.peerReported("p" + revision % 3, revision, revision * 100);
                case 2 -> adoption.platformFailed();
                case 3 -> adoption.peerLost("p" + revision % 3);
                case 4 -> clock.advance(Duration.ofSeconds(revision));
                default -> assertThat(adoption.offer(Samples.head(revision))).isEqualTo(revision > before);
            }
            assertThat(adoption.revision()).isGreaterThanOrEqualTo(before);
            assertThat(adoption.mayServe() || !served).isTrue();
            adoption.nextFetch().ifPresent(f -> assertThat(f.revision()).isGreaterThan(adoption.revision()));
            before = adoption.revision();
            served = adoption.mayServe();
        }
    }
}
