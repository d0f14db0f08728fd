package io.hornbeamfield.entry.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against forwarding partial events, and against events that are modified in transit. */
final class EventSplitterTest {
    private final List<String> events = new ArrayList<>();
    private final List<OptionalLong> ids = new ArrayList<>();
    private final EventSplitter splitter = new EventSplitter((id, hasData, bytes, offset, length) -> {
        ids.add(id);
        events.add(new String(bytes, offset, length, StandardCharsets.UTF_8));
    });

    private void feed(String text) {
        splitter.feed(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void eventsAreForwardedCompleteHoweverTheyAreFragmented() {
        String first = "id: 1\ndata: a\n\n";
        String second = "x-version: 3\nid: 2\ndata: b\ndata: c\n\n";
        for (char c : (first + second).toCharArray()) {
            feed(String.valueOf(c));
        }
        assertThat(events).containsExactly(first, second);
        assertThat(ids).containsExactly(OptionalLong.of(1), OptionalLong.of(2));
        assertThat(splitter.remainder()).isEmpty();
    }

    @Test
    void aTruncatedEventIsNotForwarded() {
        feed("id: 1\ndata: a\n\nid: 2\nda");
        assertThat(events).hasSize(1);
        assertThat(splitter.remainder()).asString(StandardCharsets.UTF_8).isEqualTo("id: 2\nda");
    }

    @Test
    void linesMayEndWithCarriageReturnAndLineFeed() {
        feed("id: 4\r\ndata: a\r\n\r\n");
        assertThat(events).containsExactly("id: 4\r\ndata: a\r\n\r\n");
        assertThat(ids).containsExactly(OptionalLong.of(4));
    }

    /** Guards against a server that sends bytes without an end in place of an event. */
    @Test
    void anEventOverTheLimitIsReported() {
        byte[] part = new byte[64 * 1024];
        for (int read = 0; read < EventSplitter.MAX_EVENT_BYTES; read += part.length) {
            assertThat(splitter.feed(part)).isTrue();
        }
        assertThat(splitter.feed(part)).isFalse();
        assertThat(splitter.remainder()).hasSize(EventSplitter.MAX_EVENT_BYTES);
        assertThat(events).isEmpty();
    }
}
