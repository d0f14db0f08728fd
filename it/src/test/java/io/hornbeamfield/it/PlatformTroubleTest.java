package io.hornbeamfield.it;

import io.hornbeamfield.it.fleet.Waits;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against requests that fail, or are charged wrongly, because the platform is away, slow or unreliable. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PlatformTroubleTest {
    private static final String CALM = "{\"outage\":false,\"delayMs\":0,\"loseAnswers\":0,\"staleReads\":0}";

    private final Scenario scenario = Scenario.start();

    @AfterEach
    void calm() {
        scenario.fleet.platformFaults(CALM);
    }

    @AfterAll
    void close() {
        scenario.close();
    }

    private void underTrouble(String faults, int seconds) {
        try (var traffic = scenario.traffic(40)) {
            Waits.sleep(Duration.ofSeconds(2));
            scenario.fleet.platformFaults(faults);
            Waits.sleep(Duration.ofSeconds(seconds));
            scenario.fleet.platformFaults(CALM);
            Waits.sleep(Duration.ofSeconds(2));
        }
        scenario.judgeKept();
        scenario.requireAnswers();
    }

    @Test
    void outageIsNotNoticedByCallersAndBillsAreWrittenAfterIt() {
        underTrouble("{\"outage\":true}", 6);
    }

    @Test
    void slowPlatformDelaysNoRequestBeyondItsDeadline() {
        underTrouble("{\"delayMs\":400}", 5);
    }

    @Test
    void lostAnswersAndStaleReadsChargeNothingTwice() {
        underTrouble("{\"loseAnswers\":0.3,\"staleReads\":0.3}", 6);
    }
}
