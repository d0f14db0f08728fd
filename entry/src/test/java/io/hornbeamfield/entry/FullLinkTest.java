package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that does not report that callers fill its link, so that address answers go on naming it
 * and the answers of the store arrive too late.
 */
final class FullLinkTest {
    /** 125,000 bytes in a second; processor time is no bound. */
    private static final String SLOW_LINK = "{\"processorShare\":1000,\"processorCores\":1,\"linkMbps\":1}";

    private static final String LARGE = "X-Large: " + "x".repeat(15_000);
    private static final Pattern LOAD = Pattern.compile("(?i)x-load-report: ([0-9.]+)");
    private static final double BUSY = 0.85;

    private final ObservedLog log = new ObservedLog(line -> {});
    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private double reportedLoad() {
        Matcher report = LOAD.matcher(Caller.send(fleet.readiness(0), "GET", "/readyz", "X-Load-Report: 1")
                .all());
        return report.find() ? Double.parseDouble(report.group(1)) : 0;
    }

    @Test
    void callersThatAreRefusedStillCountAsLoadOfTheLink() {
        fleet.runner("i-1", "plain");
        fleet.configure(1);
        fleet.deployment(SLOW_LINK);
        EntryProcess entry = fleet.start(log);
        EntryFixture.await(() -> entry.blackboard().ready());
        assertThat(reportedLoad()).isLessThan(BUSY);
        EntryFixture.await(() -> {
            assertThat(fleet.call("GET", "/nowhere/x", LARGE).status()).isEqualTo(404);
            return reportedLoad() >= BUSY;
        });
        EntryFixture.await(() -> log.lines().stream().anyMatch(l -> l.contains("\"link-full\"")));
        EntryFixture.await(() -> reportedLoad() < BUSY);
        EntryFixture.await(() -> log.lines().stream().anyMatch(l -> l.contains("\"link-relieved\"")));
    }
}
