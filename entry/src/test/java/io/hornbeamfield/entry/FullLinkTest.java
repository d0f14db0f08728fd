package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.net.json.Json;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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

    /** A large fleet, in which the instance checks all of these. */
    private static final int OTHERS = 13;

    /** Several times what it takes to consider an instance silent. */
    private static final long CHECKS_MS = 5_000;

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

    /** Guards against a fleet that loses the registrations of sound instances, as answers to a full one come late. */
    @Test
    void anInstanceWhoseLinkIsFullRemovesNoOther() throws InterruptedException {
        fleet.runner("i-1", "plain");
        fleet.configure(1);
        fleet.deployment(SLOW_LINK);
        EntryProcess entry = fleet.startReady();
        AtomicBoolean calls = new AtomicBoolean(true);
        Thread callers = new Thread(() -> {
            while (calls.get()) {
                fleet.call("GET", "/nowhere/x", LARGE).status();
            }
        });
        callers.start();
        EntryFixture.await(() -> reportedLoad() >= BUSY);
        for (int i = 0; i < OTHERS; i++) {
            // Only the last one does not answer.
            String readiness = i < OTHERS - 1 ? fleet.readiness(0) : "127.0.0.1:1";
            Member m = new Member("other-" + i, "north", "10.0.0." + i + ":1", readiness, "127.0.0.1:1", 1);
            fleet.store.put("entries", m.name(), Json.tree(m));
        }
        EntryFixture.await(() -> entry.blackboard().members().size() == OTHERS + 1);
        String silent = "other-" + (OTHERS - 1);
        TimeUnit.MILLISECONDS.sleep(CHECKS_MS);
        assertThat(fleet.store.content("entries", silent).isMissingNode()).isFalse();
        assertThat(entry.blackboard().members()).hasSize(OTHERS + 1);
        calls.set(false);
        callers.join();
        EntryFixture.await(() -> fleet.store.content("entries", silent).isMissingNode());
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
