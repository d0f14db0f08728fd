package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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

    @Test
    void aLineThatArrivesDuringTheLastWriteIsWrittenWhenTheLogIsClosed() throws InterruptedException {
        CountDownLatch writing = new CountDownLatch(1);
        ByteArrayOutputStream out = new ByteArrayOutputStream() {
            @Override
            public void write(byte[] bytes, int offset, int length) {
                boolean first = writing.getCount() > 0;
                writing.countDown();
                while (first && !Thread.currentThread().isInterrupted()) {
                    Thread.onSpinWait();
                }
                super.write(bytes, offset, length);
            }
        };
        StdoutEventLog log = StdoutEventLog.start(Clock.systemUTC(), out);
        log.event("stop").write();
        assertThat(writing.await(10, TimeUnit.SECONDS)).isTrue();
        log.event("stopped").write();
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"event\":\"stopped\"");
    }
}
