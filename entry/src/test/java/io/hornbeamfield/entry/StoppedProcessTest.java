package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import io.hornbeamfield.standins.FreePorts;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that a process takes in a planned stop and leaves unanswered when it ends. */
final class StoppedProcessTest {
    private static final long SEED = Long.getLong("entry.seed", 1);
    private static final long GRACE_MS = 8_000;
    private static final int CALLERS = 6;
    private static final String SLOW = "slow";
    private static final List<String> JAVA_OPTIONS = List.of(
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:CompileThresholdScaling=0.3",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:-UsePerfData");

    @TempDir
    private Path directory;

    private final EntryFixture fleet = new EntryFixture();
    private final FakeBackendServer server = fleet.runner("i-1", "plain");
    private final String address = FreePorts.freeAddress();
    private final String readiness = FreePorts.freeAddress();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private Process process;
    private Path settings;

    @BeforeEach
    void configure() {
        fleet.configure(1);
        settings = directory.resolve("settings.json");
    }

    @AfterEach
    void stop() {
        process.destroyForcibly();
        fleet.close();
    }

    private String settings(double graceSeconds) {
        ObjectNode s = Json.mapper().createObjectNode();
        s.put("instance", "entry-0").put("availabilityZone", "north").put("callerAddress", address);
        s.put("readinessAddress", readiness).put("directoryAddress", FreePorts.freeAddress());
        s.put("peerAddress", FreePorts.freeAddress())
                .put("peerSecret", "secret")
                .put("metricsPort", 0);
        s.put("storeAddress", fleet.store.address())
                .put("storeContactMs", 3_000)
                .put("changeAdoptionMs", 2_000);
        s.put("graceSeconds", graceSeconds).put("retryRatio", 0.2).put("retrySlack", 50);
        s.put("retryWindowSeconds", 10).put("addressTtlSeconds", 5);
        return s.toString();
    }

    private void start() throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "io.hornbeamfield.entry.Main"));
        command.addAll(List.of("--settings", settings.toString()));
        File output = directory.resolve("output").toFile();
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
    }

    private void awaitReady() {
        EntryFixture.await(() -> {
            assertThat(process.isAlive()).as("The process runs.").isTrue();
            try (Caller caller = Caller.send(readiness, "GET", "/readyz")) {
                return caller.status() == 200;
            } catch (UncheckedIOException e) {
                return false;
            }
        });
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Ends the process as the platform does. */
    private void stopAsThePlatform() throws IOException, InterruptedException {
        signal("TERM");
        if (!process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly();
        }
        process.waitFor();
    }

    private void answerAfter(InboundRequest r, long ms) {
        CompletableFuture.delayedExecutor(ms, TimeUnit.MILLISECONDS)
                .execute(() -> FakeBackendServer.answer(r, 200, "done by i-1"));
    }

    private void callUntilTheEnd(Random random, String prefix) {
        for (int i = 0; process.isAlive(); i++) {
            try (KeptCaller connection = KeptCaller.connect(address)) {
                int requests = 1 + random.nextInt(4);
                for (int j = 0; j < requests; j++) {
                    String id = prefix + i + "-" + j;
                    connection.send(KeptCaller.request("/write/x", id));
                    answers.put(id, connection.readAnswer());
                    sleep(random.nextInt(8));
                }
            } catch (IOException e) {
                // The process has ended, or has closed a connection that it did not read.
                answers.putIfAbsent(prefix + i, String.valueOf(e));
            }
        }
    }

    /** Sends requests that take long, each on a connection of its own, until the process has ended. */
    private void callInParallel(Random random, List<Thread> callers) {
        for (int i = 0; process.isAlive(); i++) {
            String id = SLOW + i;
            Thread t = new Thread(() -> {
                try (KeptCaller connection = KeptCaller.connect(address)) {
                    connection.send(KeptCaller.request("/write/x", id));
                    answers.put(id, connection.readAnswer());
                } catch (IOException e) {
                    answers.putIfAbsent(id, String.valueOf(e));
                }
            });
            callers.add(t);
            t.start();
            sleep(30 + random.nextInt(30));
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void everyRequestOfAStoppedProcessThatReachedAServerIsAnswered() throws IOException, InterruptedException {
        System.out.println("seed: -Dentry.seed=" + SEED);
        Random random = new Random(SEED);
        server.respondWith(r -> {
            boolean slow = String.valueOf(r.header("X-Attempt-Id")).startsWith(SLOW);
            answerAfter(r, slow ? 1_500 : 20);
        });
        Files.writeString(settings, settings(GRACE_MS / 1_000.0));
        start();
        awaitReady();
        List<Thread> callers = new CopyOnWriteArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Random keptRandom = new Random(random.nextLong());
            String prefix = "caller" + i + "-";
            callers.add(new Thread(() -> callUntilTheEnd(keptRandom, prefix)));
        }
        Random own = new Random(random.nextLong());
        callers.add(new Thread(() -> callInParallel(own, callers)));
        callers.forEach(Thread::start);
        Thread.sleep(300);
        stopAsThePlatform();
        for (Thread t : callers) {
            t.join(10_000);
        }
        assertThat(process.exitValue()).isZero();
        assertThat(server.receivedRequests())
                .hasSizeGreaterThan(20)
                .allSatisfy(r -> assertThat(answers.getOrDefault(String.valueOf(r.header("X-Attempt-Id")), ""))
                        .startsWith("HTTP/1.1 200")
                        .endsWith("done by i-1"));
        assertThat(server.receivedRequests().stream().map(r -> r.header("X-Attempt-Id")))
                .doesNotHaveDuplicates();
        assertThat(answers.values()).anyMatch(a -> a.startsWith("HTTP/1.1 503"));
    }

    @Test
    void aShorterGracePeriodThatIsReadDuringTheStopHolds() throws IOException, InterruptedException {
        server.respondWith(r -> {});
        Files.writeString(settings, settings(60));
        start();
        awaitReady();
        try (KeptCaller silent = KeptCaller.connect(address)) {
            silent.send(KeptCaller.request("/write/x", "w1"));
            EntryFixture.await(() -> !server.receivedRequests().isEmpty());
            signal("TERM");
            long startedNanos = System.nanoTime();
            Files.writeString(settings, settings(5));
            signal("HUP");
            signal("TERM");
            assertThat(silent.readAnswer()).startsWith("HTTP/1.1 504").contains("\"ran\":\"unknown\"");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos))
                    .isLessThan(5_000);
            assertThat(process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        }
    }

    /** Starts a process that waits for its settings, and runs an action until they arrive. */
    private void startAndSignal(String name) throws IOException, InterruptedException {
        Path file = settings;
        assertThat(new ProcessBuilder("mkfifo", file.toString()).start().waitFor())
                .isZero();
        start();
        byte[] content = settings(GRACE_MS / 1_000.0).getBytes(StandardCharsets.UTF_8);
        // Opening the pipe returns when the process opens it to read its settings.
        try (OutputStream pipe = Files.newOutputStream(file)) {
            signal(name);
            Path regular = Files.write(directory.resolve("regular.json"), content);
            Files.move(regular, file, StandardCopyOption.REPLACE_EXISTING);
            Thread.sleep(300);
            pipe.write(content);
        }
    }

    @Test
    void aReloadSignalDuringTheStartDoesNotEndTheProcess() throws IOException, InterruptedException {
        startAndSignal("HUP");
        awaitReady();
    }

    @Test
    void aStopSignalDuringTheStartEndsTheProcessWithoutAnyRequest() throws IOException, InterruptedException {
        startAndSignal("TERM");
        assertThat(process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(process.exitValue()).isZero();
    }
}
