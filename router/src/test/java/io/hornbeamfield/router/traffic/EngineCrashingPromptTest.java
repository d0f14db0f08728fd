package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that share the start of their prompt and crash one engine after the other. */
final class EngineCrashingPromptTest {
    private static final int ENGINES = 3;
    private static final int CRASHES_BEFORE_THE_BOUND = 5;
    private static final int MAX_CRASHES_AFTER_THE_BOUND = 3;
    private static final int FURTHER_REQUESTS = 8;

    private final TestRouter router = new TestRouter("a-1-0f3a9c21");
    private final List<FakeEngine> engines = new ArrayList<>();

    @AfterEach
    void stop() {
        router.close();
        engines.forEach(FakeEngine::close);
    }

    private int crashes() {
        return engines.stream().mapToInt(e -> e.started.size()).sum();
    }

    private void send(int number) {
        List<Map<String, String>> messages = List.of(
                Map.of("role", "system", "content", "the part that crashes engines"),
                Map.of("role", "user", "content", "question " + number));
        router.send(router.post("/v1/chat/completions")
                .json(Json.bytes(Map.of("model", "m", "messages", messages, "max_tokens", 5, "stream", true))));
    }

    @Test
    void promptsWithAStartThatCrashesEnginesStopReachingThem() {
        for (int i = 0; i < ENGINES; i++) {
            FakeEngine engine = new FakeEngine();
            // The engine ends when it starts to answer, and knows nothing of the request after its restart.
            engine.losesRequests = true;
            engine.losesStreams = true;
            engines.add(engine);
            router.load.add("models", "e" + i, engine.address());
        }
        // Each crash ends an incarnation; the test's engines are restarted under the same id.
        router.load.incarnations = id -> id + "/" + crashes();
        int number = 0;
        // Each of these requests crashes at least one engine unless the router refuses it.
        for (int i = 0; i < CRASHES_BEFORE_THE_BOUND; i++) {
            send(number++);
        }
        int before = crashes();
        for (int i = 0; i < FURTHER_REQUESTS; i++) {
            send(number++);
        }
        assertThat(crashes() - before).isLessThanOrEqualTo(MAX_CRASHES_AFTER_THE_BOUND);
    }
}
