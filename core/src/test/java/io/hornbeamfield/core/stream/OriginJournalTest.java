package io.hornbeamfield.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class OriginJournalTest {
    private static final StreamOrigin OLD = StreamOrigin.of("model", "1.0");

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final OriginJournal journal = new OriginJournal(clock);

    private static StreamId stream(String attempt) {
        return new StreamId("plots", attempt);
    }

    @Test
    void nothingIsWrittenWhileOneVersionServes() {
        journal.add(stream("a1"), OLD);
        assertThat(journal.nextPage(service -> false)).isEmpty();
    }

    @Test
    void streamsThatBeganBeforeASecondVersionAreWrittenOnce() {
        journal.add(stream("a1"), OLD);
        journal.add(stream("a2"), StreamOrigin.of("plain", "7"));
        OriginPage page = journal.nextPage("model"::equals).orElseThrow();
        assertThat(page.streams()).singleElement().satisfies(s -> {
            assertThat(s.id()).isEqualTo(stream("a1"));
            assertThat(s.origin()).isEqualTo(OLD);
        });
        assertThat(journal.nextPage("model"::equals)).isEmpty();
    }

    @Test
    void anIdOfTwoVersionsIsKeptAsSuch() {
        StreamOrigin none = new StreamOrigin("model", Optional.empty());
        journal.add(stream("a1"), none);
        OriginPage page = journal.nextPage(service -> true).orElseThrow();
        assertThat(page.streams().get(0).origin()).isEqualTo(none);
    }

    @Test
    void aStreamIsForgottenWhenItsCallerNoLongerWaits() {
        journal.add(stream("a1"), OLD);
        clock.advance(Duration.ofMillis(OriginJournal.RETENTION_MS));
        assertThat(journal.nextPage(service -> true)).isEmpty();
    }

    /** An instance that starts again must not replace the newest pages of its earlier incarnation first. */
    @Test
    void theOldestPagesAreReplacedAlsoAfterARestart() {
        Map<Integer, Long> stored = new HashMap<>();
        for (int i = 0; i < OriginJournal.PAGES + 3; i++) {
            journal.add(stream("a" + i), OLD);
            OriginPage page = journal.nextPage(service -> true).orElseThrow();
            stored.put(OriginJournal.slot(page), page.sequence());
        }
        long newest = stored.values().stream().mapToLong(s -> s).max().orElseThrow();
        long oldest = stored.values().stream().mapToLong(s -> s).min().orElseThrow();
        OriginJournal restarted = new OriginJournal(clock);
        restarted.continueAfter(newest);
        restarted.add(stream("b"), OLD);
        OriginPage page = restarted.nextPage(service -> true).orElseThrow();
        assertThat(stored.get(OriginJournal.slot(page))).isEqualTo(oldest);
        assertThat(stored).hasSize(OriginJournal.PAGES);
    }

    @Test
    void aPageIsBounded() {
        for (int i = 0; i < OriginJournal.MAX_STREAMS + 5; i++) {
            journal.add(stream("a" + i), OLD);
        }
        assertThat(journal.nextPage(service -> true).orElseThrow().streams()).hasSize(OriginJournal.MAX_STREAMS);
    }
}
