package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against "not run" for a request that a server has run and then refused without stating that it did not. */
final class RefusalAfterRunTest {
    private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);
    private static final String NOT_RUN = "X-Not-Executed: 1\r\n";
    private static final String RETRY_AFTER = "Retry-After: 3\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    private static final int UPLOAD_BYTES = 300_000;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;

    private final EntryFixture fleet = new EntryFixture();
    private final List<RawServer> servers = new ArrayList<>();
    private final List<String> runs = new CopyOnWriteArrayList<>();
    private final AtomicInteger arrivals = new AtomicInteger();

    @AfterEach
    void stop() {
        fleet.close();
        servers.forEach(RawServer::close);
    }

    /** What the servers do before the refusal. */
    private enum Way {
        FIRST_ATTEMPT,
        AFTER_A_LOST_ANSWER,
        AFTER_A_BEGUN_STREAM
    }

    static Stream<Arguments> refusals() {
        List<Arguments> all = new ArrayList<>();
        for (int status : PROMISES) {
            for (AnsweredRoute route : AnsweredRoute.values()) {
                all.add(Arguments.of(status, "", route, Way.FIRST_ATTEMPT));
                all.add(Arguments.of(status, RETRY_AFTER, route, Way.FIRST_ATTEMPT));
                all.add(Arguments.of(status, "", route, Way.AFTER_A_LOST_ANSWER));
                all.add(Arguments.of(status, NOT_RUN, route, Way.AFTER_A_LOST_ANSWER));
            }
            all.add(Arguments.of(status, "", AnsweredRoute.RESUMABLE, Way.AFTER_A_BEGUN_STREAM));
            all.add(Arguments.of(status, NOT_RUN, AnsweredRoute.RESUMABLE, Way.AFTER_A_BEGUN_STREAM));
        }
        return all.stream();
    }

    private void start(String service, RawServer.Responder responder) {
        for (int i = 1; i <= 2; i++) {
            servers.add(RawServer.start(fleet.store, "i-" + i, service, responder));
        }
        fleet.configure(1);
        fleet.startReady();
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers(service).size() == 2);
    }

    private static String refusal(String head, int status, String more) {
        return "HTTP/1.1 " + status + " Refused\r\n" + RawServer.signed(head) + more + "Content-Length: 2\r\n\r\nno";
    }

    private boolean respond(String head, OutputStream out, int status, String more, Way way) throws IOException {
        boolean first = arrivals.getAndIncrement() == 0;
        if (first || !more.equals(NOT_RUN)) {
            runs.add(RawServer.header(head, "X-Attempt-Id"));
        }
        if (first && way == Way.AFTER_A_LOST_ANSWER) {
            return false;
        }
        if (first && way == Way.AFTER_A_BEGUN_STREAM) {
            String event = AnsweredRoute.RESUMABLE.piece(1);
            RawServer.write(
                    out, "HTTP/1.1 200 OK\r\n" + RawServer.signed(head) + EVENTS + "\r\n" + RawServer.chunk(event));
            return false;
        }
        RawServer.write(out, refusal(head, status, more));
        return true;
    }

    @ParameterizedTest(name = "{0} with \"{1}\", {2}, {3}")
    @MethodSource("refusals")
    void aRequestThatMayHaveRunIsNotAnsweredAsNotRun(int status, String more, AnsweredRoute route, Way way) {
        start(route.service, (head, out) -> respond(head, out, status, more, way));
        ReceivedAnswer answer = ReceivedAnswer.of(fleet.call("POST", route.path).all());
        if (way == Way.AFTER_A_BEGUN_STREAM) {
            assertThat(answer.complete()).isFalse();
        } else {
            assertThat(answer.status()).isEqualTo(502);
            assertThat(answer.body()).contains("\"ran\":\"unknown\"");
        }
        assertThat(answer.isSigned()).isEqualTo(way == Way.AFTER_A_BEGUN_STREAM);
        assertThat(runs).hasSize(route.repeatable && !more.equals(NOT_RUN) ? 2 : 1);
    }

    /** Guards against a caller that is not told when a server that gives no proof wants to be asked again. */
    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void theCallerLearnsWhenTheServerWantsToBeAskedAgain(int status) {
        start("plain", (head, out) -> respond(head, out, status, RETRY_AFTER, Way.FIRST_ATTEMPT));
        String answer = fleet.call("POST", "/write/x").all();
        assertThat(answer).startsWith("HTTP/1.1 502").contains("status " + status + " without X-Not-Executed");
        assertThat(RawServer.header(answer, "Retry-After")).isEqualTo("3.000");
    }

    /** Guards against "outcome unknown" for requests that full servers have declined. */
    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void aRequestThatAllServersDeclinedIsRefusedAsNotRunUntilTheyTakeRequestsAgain(int status) {
        start("plain", (head, out) -> {
            RawServer.write(out, refusal(head, status, NOT_RUN + RETRY_AFTER));
            return true;
        });
        String answer = fleet.call("POST", "/write/x").all();
        assertThat(answer).startsWith("HTTP/1.1 503").contains("\"ran\":\"no\"");
        // The pause has begun with the first answer.
        assertThat(Double.parseDouble(RawServer.header(answer, "Retry-After"))).isGreaterThan(2.5);
    }

    /** Guards against "not run" from a server that refuses while it is still reading the request. */
    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void aRefusalBeforeTheUploadHasEndedProvesNothing(int status) throws IOException {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            EntryFixture.register(fleet.store, "i-1", "plain", "127.0.0.1:" + server.getLocalPort());
            fleet.configure(1);
            fleet.startReady();
            try (KeptCaller caller = KeptCaller.connect(fleet.address(0))) {
                caller.send(upload());
                refuseFirstUpload(server, status);
                assertThat(caller.readAnswer()).startsWith("HTTP/1.1 502");
            }
        }
    }

    private static String upload() {
        return "POST /write/x HTTP/1.1\r\nHost: api.example\r\n" + EntryFixture.KEY + "\r\n" + EntryFixture.ID
                + "\r\n" + EntryFixture.DEADLINE + "\r\nContent-Length: " + UPLOAD_BYTES + "\r\n\r\n"
                + "b".repeat(UPLOAD_BYTES);
    }

    private static void refuseFirstUpload(ServerSocket server, int status) throws IOException {
        while (true) {
            try (Socket connection = server.accept()) {
                InputStream in = connection.getInputStream();
                String head = readHead(in);
                if (head.startsWith("POST")) {
                    RawServer.write(connection.getOutputStream(), refusal(head, status, ""));
                    connection.shutdownOutput();
                    in.readAllBytes();
                    return;
                }
            }
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            head.append((char) b);
        }
        return head.toString();
    }

    /** Guards against a request that is lost because another server has taken over the address of its server. */
    @Test
    void aRequestThatAnotherServerDeclinesIsServedByTheNextOne() {
        start("plain", (head, out) -> {
            if (arrivals.getAndIncrement() == 0) {
                RawServer.write(out, refusal(head, 421, NOT_RUN));
            } else {
                RawServer.write(out, "HTTP/1.1 200 OK\r\n" + RawServer.signed(head) + "Content-Length: 2\r\n\r\nok");
            }
            return true;
        });
        assertThat(fleet.call("POST", "/write/x").all()).startsWith("HTTP/1.1 200");
    }
}
