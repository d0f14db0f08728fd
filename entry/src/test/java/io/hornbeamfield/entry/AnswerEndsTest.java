package io.hornbeamfield.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an answer that looks complete although its server ended it early. Covers each end of an answer, in its
 * first and in its second attempt. An answer without a length that ends in order after its head or, in a stream, after
 * an event cannot be told from a complete one.
 */
final class AnswerEndsTest {
    private static final int SERVERS = 3;
    private static final int CALLERS = 6;

    /** Enough for all requests at once. */
    private static final int MAX_CALLERS = 200;

    private static final int MAX_TRIES = 5;
    private static final List<Integer> MAY_HAVE_RUN = List.of(502, 504);
    private static final List<Integer> NOT_RUN = List.of(429, 502, 503, 504);

    private static final String MORE_BYTES = "HTTP/1.1 200 OK\r\n";
    private static final long ARRIVAL_MS = 40;
    private static final long SILENCE_DEADLINE_MS = 4_000;

    private final EntryFixture fleet = new EntryFixture();
    private final List<RawServer> servers = new ArrayList<>();
    private final Map<String, Trial> running = new ConcurrentHashMap<>();
    private final CountDownLatch testEnd = new CountDownLatch(1);

    @AfterEach
    void stop() {
        testEnd.countDown();
        fleet.close();
        servers.forEach(RawServer::close);
    }

    /** How an answer says where it ends. */
    private enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION;

        String header(String body) {
            return switch (this) {
                case LENGTH -> "Content-Length: " + body.length() + "\r\n";
                case CHUNKS -> "Transfer-Encoding: chunked\r\n";
                case CONNECTION -> "";
            };
        }
    }

    /** How a server ends its connection. */
    private enum End {
        IN_ORDER,
        RESET,
        SILENCE
    }

    /** What a server sends before it ends. */
    private record Sent(String where, String bytes, String body, boolean headSent, boolean bodySent) {}

    /** The steps in which a server sends an answer. */
    private static final class Steps {
        private final List<Sent> all = new ArrayList<>();
        private final StringBuilder bytes = new StringBuilder();
        private final StringBuilder body = new StringBuilder();

        void head(String where, String text) {
            bytes.append(text);
            all.add(new Sent(where, bytes.toString(), "", false, false));
        }

        void framing(String where, String text) {
            bytes.append(text);
            all.add(new Sent(where, bytes.toString(), body.toString(), true, false));
        }

        void body(String where, String text) {
            body.append(text);
            framing(where, text);
        }

        void end(String where, String text) {
            bytes.append(text);
            all.add(new Sent(where, bytes.toString(), body.toString(), true, true));
        }
    }

    /** Returns all places at which a server can stop while it sends the pieces from the given one on. */
    private static List<Sent> places(AnsweredRoute route, Framing framing, String id, int from) {
        Steps steps = new Steps();
        String body = route.pieces(from);
        String framingHeader = framing.header(body);
        steps.head("before its first byte", "");
        steps.head("in the status line", "HTTP/1.1 20");
        steps.head("after the status line", "0 OK\r\n");
        steps.head("in a header", "X-Attempt-Id: " + id + "\r\nX-Runner-Si");
        steps.head("before the last header", "gnature: s\r\nConnection: close\r\n" + contentType(route));
        if (!framingHeader.isEmpty()) {
            steps.head("in the last header", framingHeader.substring(0, framingHeader.length() - 3));
            steps.head("after the last header", framingHeader.substring(framingHeader.length() - 3));
        }
        steps.head("in the empty line", "\r");
        steps.framing("after the head", "\n");
        String first = route.piece(from);
        String more = body.substring(first.length());
        if (framing == Framing.CHUNKS) {
            addChunks(steps, first, more);
        } else {
            steps.body("in a piece", first.substring(0, 7));
            steps.body("after a piece", first.substring(7));
            steps.body("before the last byte", more.substring(0, more.length() - 1));
            if (framing == Framing.LENGTH) {
                steps.body.append(more.substring(more.length() - 1));
                steps.end("after the last byte", more.substring(more.length() - 1));
                steps.end("after more than its length", MORE_BYTES);
            } else {
                steps.body("after the last byte", more.substring(more.length() - 1));
            }
        }
        return steps.all;
    }

    private static String contentType(AnsweredRoute route) {
        return "Content-Type: " + (route.stream ? "text/event-stream" : "text/plain") + "\r\n";
    }

    private static void addChunks(Steps steps, String first, String more) {
        String size = Integer.toHexString(first.length());
        steps.framing("in a chunk size", size.substring(0, 1));
        steps.framing("after a chunk size", size.substring(1) + "\r\n");
        steps.body("in a piece and its chunk", first.substring(0, 7));
        steps.body("after a piece and before the end of its chunk", first.substring(7));
        steps.framing("after a chunk", "\r\n");
        String last = RawServer.chunk(more);
        steps.body.append(more);
        steps.framing("after the last piece", last);
        steps.framing("in the size of the last chunk", "0");
        steps.framing("after the size of the last chunk", "\r\n");
        steps.framing("in a trailer", "X-Tr");
        steps.framing("after a trailer", "ail: x\r\n");
        steps.framing("in the last empty line", "\r");
        steps.end("after the last chunk", "\n");
        steps.end("after more than its chunks", MORE_BYTES);
    }

    /** One request whose answer is ended by its server in one of the attempts. */
    private static final class Trial {
        private final AnsweredRoute route;
        private final End end;
        private final boolean resumed;
        private final Framing framing;
        private final Sent sent;
        private final AtomicInteger runs = new AtomicInteger();

        Trial(AnsweredRoute route, End end, boolean resumed, Framing framing, Sent sent) {
            this.route = route;
            this.end = end;
            this.resumed = resumed;
            this.framing = framing;
            this.sent = sent;
        }

        /** Returns whether the answer is whole, as far as its bytes and the end of its connection tell. */
        boolean isWhole() {
            if (framing != Framing.CONNECTION) {
                return sent.bodySent;
            }
            boolean endsAfterPiece =
                    !sent.body.isEmpty() && route.whole(sent.body).equals(sent.body);
            return sent.headSent && end == End.IN_ORDER && (!route.stream || endsAfterPiece);
        }

        /** Returns what the caller had received before the attempt of this trial. */
        String before() {
            return resumed && route.stream ? route.piece(1) : "";
        }

        @Override
        public String toString() {
            return framing + ", " + end + " " + sent.where + (resumed ? ", second attempt" : "");
        }
    }

    private boolean respond(String head, OutputStream out) throws IOException {
        String id = RawServer.header(head, "X-Attempt-Id");
        Trial trial = running.get(id);
        int run = trial.runs.incrementAndGet();
        String last = RawServer.header(head, "Last-Event-Id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        if (run == (trial.resumed ? 2 : 1)) {
            RawServer.write(out, trial.sent.bytes);
            end(trial.end);
        } else if (run == 1) {
            if (trial.route.stream) {
                RawServer.write(out, head(trial.route, id, Framing.CHUNKS, "") + RawServer.chunk(trial.route.piece(1)));
            }
        } else {
            String body = trial.route.pieces(from);
            RawServer.write(out, head(trial.route, id, Framing.LENGTH, body) + body);
        }
        return false;
    }

    private static String head(AnsweredRoute route, String id, Framing framing, String body) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Runner-Signature: s\r\nConnection: close\r\n"
                + contentType(route) + framing.header(body) + "\r\n";
    }

    private void end(End end) throws IOException {
        try {
            if (testEnd.await(end == End.SILENCE ? Long.MAX_VALUE : ARRIVAL_MS, TimeUnit.MILLISECONDS)) {
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (end == End.RESET) {
            throw new RawServer.ConnectionReset();
        }
    }

    static Stream<Arguments> ends() {
        List<Arguments> all = new ArrayList<>();
        for (AnsweredRoute route : AnsweredRoute.values()) {
            for (End end : End.values()) {
                all.add(Arguments.of(route, end, false));
                if (route.repeatable) {
                    all.add(Arguments.of(route, end, true));
                }
            }
        }
        return all.stream();
    }

    @ParameterizedTest(name = "{0}, {1}, second attempt: {2}")
    @MethodSource("ends")
    void onlyAWholeAnswerLooksComplete(AnsweredRoute route, End end, boolean resumed) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(end == End.SILENCE ? MAX_CALLERS : CALLERS);
        start(route.service, end == End.SILENCE ? 400 : 4_000);
        int from = resumed && route.stream ? 2 : 1;
        List<Future<List<AssertionError>>> results = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            for (int i = 0; i < places(route, framing, "", from).size(); i++) {
                int place = i;
                results.add(callers.submit(() -> play(
                        framing.name() + place,
                        id -> new Trial(
                                route,
                                end,
                                resumed,
                                framing,
                                places(route, framing, id, from).get(place)))));
            }
        }
        SoftAssertions all = new SoftAssertions();
        for (Future<List<AssertionError>> errors : results) {
            errors.get(90, TimeUnit.SECONDS).forEach(all::collectAssertionError);
        }
        callers.shutdown();
        all.assertAll();
    }

    /**
     * Returns what is wrong with the answer to a request. The daemon takes a server for silent that gets no processor
     * time for a second, so that a trial may end differently on a busy machine; it is repeated then.
     */
    private List<AssertionError> play(String name, Function<String, Trial> trials) {
        List<AssertionError> errors = List.of();
        for (int i = 0; i < MAX_TRIES; i++) {
            String id = name + "-" + i;
            Trial trial = trials.apply(id);
            running.put(id, trial);
            String text = call(id, trial);
            SoftAssertions safe = new SoftAssertions();
            checkSafe(safe, trial, text);
            SoftAssertions expected = new SoftAssertions();
            checkExpected(expected, trial, text);
            errors = safe.wasSuccess() ? expected.assertionErrorsCollected() : safe.assertionErrorsCollected();
            if (errors.isEmpty() || !safe.wasSuccess()) {
                return errors;
            }
        }
        return errors;
    }

    private void start(String service, long objectiveMs) {
        fleet.objectiveMs(objectiveMs);
        fleet.retrySlack(1_000);
        for (int i = 1; i <= SERVERS; i++) {
            servers.add(RawServer.start(fleet.store, "i-" + i, service, this::respond));
        }
        fleet.configure(1);
        fleet.startReady();
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers(service).size() == SERVERS);
    }

    private String call(String id, Trial trial) {
        String deadline = "X-Deadline-Ms: " + (trial.end == End.SILENCE ? SILENCE_DEADLINE_MS : 10_000);
        String method = trial.route == AnsweredRoute.IDEMPOTENT ? "GET" : "POST";
        try (Caller caller = Caller.send(
                fleet.address(0), method, trial.route.path, EntryFixture.KEY, "X-Attempt-Id: " + id, deadline)) {
            return caller.all();
        }
    }

    /** Checks what holds for every answer, however its attempts ended. */
    private static void checkSafe(SoftAssertions safe, Trial trial, String text) {
        ReceivedAnswer answer = ReceivedAnswer.of(text);
        String as = trial + ", " + trial.runs + " runs: " + text;
        String pieces = trial.route.pieces(1);
        safe.assertThat(trial.runs.get()).as(as).isLessThanOrEqualTo(trial.route.repeatable ? 2 : 1);
        safe.assertThat(answer.isSigned()).as(as).isEqualTo(answer.status() == 200);
        if (answer.status() == 200 && answer.complete()) {
            String sent = trial.isWhole() ? trial.before() + trial.sent.body : pieces;
            safe.assertThat(answer.body()).as(as).isIn(pieces, sent);
        } else if (answer.status() == 200) {
            safe.assertThat(trial.route.stream).as(as).isTrue();
            safe.assertThat(pieces).as(as).startsWith(answer.body());
            safe.assertThat(answer.body()).as(as).endsWith("\n\n");
        } else {
            safe.assertThat(answer.status()).as(as).isIn(trial.runs.get() == 0 ? NOT_RUN : MAY_HAVE_RUN);
        }
    }

    /** Checks that the answer is whole, repeated, resumed or cut, as its route and the end of its attempt ask for. */
    private static void checkExpected(SoftAssertions all, Trial trial, String text) {
        ReceivedAnswer answer = ReceivedAnswer.of(text);
        String as = trial + ", " + trial.runs + " runs: " + text;
        String part = trial.before() + trial.route.whole(trial.sent.headSent ? trial.sent.body : "");
        boolean repeated = trial.route.repeatable && !trial.resumed && !trial.isWhole();
        if (trial.end == End.SILENCE) {
            // A silent server may keep its request until the deadline, and its other requests may keep it from use.
            if (trial.isWhole() && trial.runs.get() == (trial.resumed ? 2 : 1)) {
                checkWhole(all, as, answer, trial.before() + trial.sent.body);
            }
            return;
        }
        all.assertThat(trial.runs.get()).as(as).isEqualTo(trial.resumed || repeated ? 2 : 1);
        if (trial.isWhole()) {
            checkWhole(all, as, answer, trial.before() + trial.sent.body);
        } else if (repeated && !part.equals(trial.route.pieces(1))) {
            checkWhole(all, as, answer, trial.route.pieces(1));
        } else {
            checkBroken(all, as, answer, part);
        }
    }

    private static void checkBroken(SoftAssertions all, String as, ReceivedAnswer answer, String part) {
        if (part.isEmpty()) {
            all.assertThat(answer.status()).as(as).isIn(502, 504);
            all.assertThat(answer.isSigned()).as(as).isFalse();
        } else {
            all.assertThat(answer.status()).as(as).isEqualTo(200);
            all.assertThat(answer.complete()).as(as).isFalse();
            all.assertThat(answer.body()).as(as).isEqualTo(part);
        }
    }

    private static void checkWhole(SoftAssertions all, String as, ReceivedAnswer answer, String body) {
        all.assertThat(answer.status()).as(as).isEqualTo(200);
        all.assertThat(answer.complete()).as(as).isTrue();
        all.assertThat(answer.isSigned()).as(as).isTrue();
        all.assertThat(answer.body()).as(as).isEqualTo(body);
    }
}
