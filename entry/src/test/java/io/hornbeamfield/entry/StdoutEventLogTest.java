package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import org.junit.jupiter.api.Test;

/** Guards against log lines that are lost when a process ends. */
final class StdoutEventLogTest {
    @Test
    void theLineThatWaitsForItsBatchIsWrittenWhenTheLogIsClosed() throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StdoutEventLog log = StdoutEventLog.start(Clock.systemUTC(), out);
        log.event("stopped").write();
        // The writer takes the first line of a batch at once and writes it after the flush interval.
        Thread.sleep(40);
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"event\":\"stopped\"");
    }
}
