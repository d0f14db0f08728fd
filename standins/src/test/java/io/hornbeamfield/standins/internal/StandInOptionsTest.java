package io.hornbeamfield.standins.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against settings of a stand-in that are ignored without notice. */
class StandInOptionsTest {
    @TempDir
    private Path directory;

    private StandInOptions.Builder options() {
        return StandInOptions.of("standin", "test")
                .option("loadLagMs", "200", "age")
                .option("seed", "1", "seed");
    }

    private String file(String json) throws IOException {
        return Files.writeString(directory.resolve("settings.json"), json).toString();
    }

    @Test
    void commandLineWinsOverTheFileAndTheFileOverTheDefault() throws Exception {
        StandInOptions o = options().parseStrictly("--settings", file("{\"loadLagMs\":5,\"seed\":7}"), "--seed", "9");
        assertThat(o.integer("loadLagMs")).isEqualTo(5);
        assertThat(o.integer("seed")).isEqualTo(9);
    }

    @Test
    void unknownFieldInTheFileIsRefused() {
        assertThatThrownBy(() -> options().parseStrictly("--settings", file("{\"loadLag\":5}")))
                .hasMessageContaining("\"loadLag\"");
    }
}
