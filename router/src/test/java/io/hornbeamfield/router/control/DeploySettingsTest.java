package io.hornbeamfield.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.settings.SettingsLoader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against sample settings that a router rejects or in which two routers share an address. */
class DeploySettingsTest {
    @ParameterizedTest
    @ValueSource(strings = {"quabbin", "lampka"})
    void theSettingsOfSevenRoutersAreAcceptedAndTheirAddressesDiffer(String fleet) throws IOException {
        Set<String> taken = new HashSet<>();
        List<Path> files;
        try (Stream<Path> listed = Files.list(Path.of("../deploy/" + fleet + "/routers"))) {
            files = listed.toList();
        }
        assertThat(files).hasSize(7);
        for (Path file : files) {
            RouterSettings s = SettingsLoader.load(file, RouterSettings.class).fold(ok -> ok, refusal -> {
                throw new AssertionError(refusal.detail());
            });
            assertThat(file).hasFileName(s.instanceId() + ".json");
            assertThat(s.peers()).hasSize(6).doesNotContain(s.peerAddress());
            for (String address : List.of(s.instanceId(), s.callerAddress(), s.adminAddress(), s.peerAddress())) {
                assertThat(taken.add(address)).as(address).isTrue();
            }
        }
    }
}
