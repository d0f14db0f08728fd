package io.hornbeamfield.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against bytes from 0x80 in headers, path and query that are changed on the way, in either direction. */
final class OpaqueBytesTest {
    private static final String NAME = bytes("dob\u00f3r-\u017car\u00f3wki");

    /** Every byte that a header value may have. */
    private static final String ALL = all();

    private final EntryFixture fleet = new EntryFixture();
    private RawServer server;

    @AfterEach
    void stop() {
        server.close();
        fleet.close();
    }

    /** Returns a text in which each character stands for one byte of the UTF-8 form. */
    private static String bytes(String text) {
        return new String(text.getBytes(UTF_8), ISO_8859_1);
    }

    private static String all() {
        StringBuilder text = new StringBuilder("a");
        for (char c = ' '; c <= 0xff; c++) {
            text.append(c == 0x7f ? "" : c);
        }
        return text.append('z').toString();
    }

    private void start(AnsweredRoute route, ObjectNode config) {
        server = RawServer.start(fleet.store, "i-1", route.service, (head, out) -> {
            String type = route.stream ? "text/event-stream" : "text/plain";
            RawServer.write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + RawServer.signed(head) + "X-Bytes: " + ALL + "\r\nContent-Type: " + type
                            + "\r\nContent-Length: " + route.pieces(1).length() + "\r\n\r\n" + route.pieces(1));
            return true;
        });
        fleet.store.put("config", "main", config);
        fleet.startReady();
    }

    @ParameterizedTest
    @EnumSource
    void bytesArePassedOnAsTheyCame(AnsweredRoute route) {
        start(route, fleet.config(1));
        String target = route.path + NAME + "?q=" + NAME + "&e=%C5%BC";
        String answer = fleet.call("POST", target, "X-Model: " + NAME, "X-Bytes: " + ALL)
                .all();
        assertThat(answer).startsWith("HTTP/1.1 200");
        assertThat(RawServer.header(answer, "X-Bytes")).isEqualTo(ALL);
        String seen = server.requests().get(0);
        assertThat(seen).startsWith("POST " + target + " HTTP/1.1\r\n");
        assertThat(RawServer.header(seen, "X-Model")).isEqualTo(NAME);
        assertThat(RawServer.header(seen, "X-Bytes")).isEqualTo(ALL);
    }

    /** Guards against 404 and 401 for a path and a key that the configuration has, with letters outside ASCII. */
    @Test
    void aPathAndAKeyMatchTheConfigurationAsUtf8() {
        ObjectNode config = fleet.config(1);
        fleet.route((ArrayNode) config.path("routes"), "\u017car\u00f3wki", "idempotent", "plain", 1, false);
        ((ArrayNode) config.path("tenants").path(0).path("api-keys")).add("klucz-\u017c");
        start(AnsweredRoute.IDEMPOTENT, config);
        String answer = Caller.send(
                        fleet.address(0),
                        "GET",
                        bytes("/\u017car\u00f3wki/x"),
                        bytes("Authorization: Bearer klucz-\u017c"),
                        EntryFixture.ID,
                        EntryFixture.DEADLINE)
                .all();
        assertThat(answer).startsWith("HTTP/1.1 200");
    }
}
