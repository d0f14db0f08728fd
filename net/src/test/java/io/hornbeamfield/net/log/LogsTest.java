package io.hornbeamfield.net.log;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.json.Json;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

/**
 * Guards against log records that are not written as one JSON object per line. The test starts a separate process
 * because the test runner has already initialised the JDK's log manager.
 */
class LogsTest {
    static final class Writer {
        private Writer() {}

        public static void main(String[] args) {
            Logs.setUp();
            Logger.getLogger("demo").warn("first \"line\"\nsecond line", new IllegalStateException("cause"));
            java.util.logging.Logger.getLogger("jdk").severe("from the JDK");
            Logger.getLogger("demo").debug("hidden");
        }
    }

    @Test
    void everyRecordIsOneJsonLineOnStandardErrorWithoutJvmFlags() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process =
                new ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), Writer.class.getName()).start();
        try {
            List<JsonNode> lines = new ArrayList<>();
            for (String line : new String(process.getErrorStream().readAllBytes(), UTF_8).split("\n")) {
                lines.add(Json.parse(line.getBytes(UTF_8)));
            }
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            assertThat(lines).hasSize(2);
            assertThat(lines.get(0).path("message").asText()).isEqualTo("first \"line\"\nsecond line");
            assertThat(lines.get(0).path("level").asText()).isEqualTo("WARN");
            assertThat(lines.get(0).at("/exception/message").asText()).isEqualTo("cause");
            assertThat(lines.get(1).path("message").asText()).isEqualTo("from the JDK");
        } finally {
            process.destroyForcibly();
        }
    }
}
