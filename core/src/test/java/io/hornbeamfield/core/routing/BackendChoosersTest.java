package io.hornbeamfield.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ServerState;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against selecting servers that cannot serve a request, and against ignoring load or cached prompts. */
class BackendChoosersTest {
    private static final List<PromptPrefix> PROMPT = PromptPrefix.builder()
            .message("system", "x".repeat(5_000))
            .message("user", "q")
            .build();
    private static final BackendRequest REQUEST = BackendRequest.forModel("m", PROMPT);

    private final PrefixIndex index = new PrefixIndex(100);
    private final BackendChooser prefixAware = BackendChoosers.prefixAware(index, 1_000);

    private static BackendView view(String id, int outstanding) {
        return view(id, ServerState.LIVE, false, 0, 0, outstanding);
    }

    private static BackendView view(
            String id, ServerState state, boolean suspended, int reported, int sent, int outstanding) {
        return new BackendView(
                id, "10.0.0.1:80", "a", state, suspended, reported, 0, sent, 0, outstanding, Set.of("m"));
    }

    private String chosen(BackendChooser chooser, BackendRequest request, BackendView... views) {
        return chooser.choose(request, List.of(views)).map(BackendView::id).orElse("none");
    }

    static Stream<BackendChooser> choosers() {
        return Stream.of(
                BackendChoosers.prefixAware(new PrefixIndex(10)),
                BackendChoosers.roundRobin(),
                BackendChoosers.leastOutstanding(),
                BackendChoosers.powerOfTwo(new Random(1)));
    }

    @ParameterizedTest
    @MethodSource("choosers")
    void noChooserPicksAServerThatCannotTakeTheRequest(BackendChooser chooser) {
        BackendView leaving = view("leaving", ServerState.LEAVING, false, 0, 0, 0);
        BackendView suspended = view("suspended", ServerState.LIVE, true, 0, 0, 0);
        BackendView tried = view("tried", 0);
        BackendView busy = view("busy", 50);
        BackendRequest retry = REQUEST.excluding(Set.of("tried"));
        for (int i = 0; i < 20; i++) {
            assertThat(chosen(chooser, retry, leaving, suspended, tried, busy)).isEqualTo("busy");
        }
        assertThat(chooser.choose(BackendRequest.forModel("other", PROMPT), List.of(busy)))
                .isEqualTo(Optional.empty());
    }

    @Test
    void aCachedPromptIsWorthALimitedQueue() {
        index.stored("a", 1, PROMPT.get(0).hash());
        assertThat(chosen(prefixAware, REQUEST, view("a", 4), view("b", 0))).isEqualTo("a");
        assertThat(chosen(prefixAware, REQUEST, view("a", 6), view("b", 0))).isEqualTo("b");
    }

    @Test
    void requestsWithANewPrefixMeetAtOneServerBeforeAnyEventArrives() {
        String first = chosen(prefixAware, REQUEST, view("a", 0), view("b", 0), view("c", 0));
        index.sent(first, PROMPT);
        assertThat(chosen(prefixAware, REQUEST, view("a", 1), view("b", 1), view("c", 1)))
                .isEqualTo(first);
    }

    @Test
    void requestsSentSinceALaggingReportCountAsQueued() {
        BackendView idleReport = view("a", ServerState.LIVE, false, 0, 9, 9);
        BackendView busyReport = view("b", ServerState.LIVE, false, 5, 0, 0);
        assertThat(chosen(prefixAware, REQUEST, idleReport, busyReport)).isEqualTo("b");
    }

    @Test
    void leastOutstandingSpreadsTiesOverTheServers() {
        BackendChooser chooser = BackendChoosers.leastOutstanding();
        assertThat(Stream.generate(() -> chosen(chooser, REQUEST, view("a", 0), view("b", 0), view("c", 0)))
                        .limit(50)
                        .distinct())
                .hasSize(3);
    }
}
