package io.hornbeamfield.router.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.StaleConfigPolicy;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.HttpPlatformClient;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.net.settings.SettingsLoader;
import io.hornbeamfield.standins.platform.PlatformFaults;
import io.hornbeamfield.standins.platform.PlatformStandIn;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the wiring of the controllers, with real peer links and a platform over HTTP. */
class RouterControlTest {
    private final HttpClient http = HttpClient.create("test");
    private final PlatformStandIn standIn = PlatformStandIn.builder().token("t").start();
    private final PlatformClient platform = new HttpPlatformClient(http, "127.0.0.1:" + standIn.port(), "t");
    private final List<RouterControl> routers = new ArrayList<>();

    private static ConfigHead head(long revision) {
        Preset p =
                new Preset(60, 0.5, 30, 500, 100, 100, 0.1, 0, 5_000, 1_000, 20, Priority.LOW, StaleConfigPolicy.SERVE);
        Map<String, Preset> presets = Map.of("ordinary", p, "peak", p, "maintenance", p);
        return new ConfigHead(revision, "ordinary", presets, Map.of(), Map.of(), 6);
    }

    private String settings(String instance, String peers, String extra) {
        return "{\"instanceId\":\"" + instance + "\",\"zone\":\"z\",\"callerAddress\":\"127.0.0.1:1\","
                + "\"adminAddress\":\"127.0.0.1:2\",\"peerAddress\":\"127.0.0.1:0\",\"peers\":[" + peers + "],"
                + "\"platformAddress\":\"127.0.0.1:" + standIn.port() + "\",\"platformToken\":\"t\","
                + "\"operatorToken\":\"o\",\"sharedSecret\":\"0123456789abcdef\",\"keyLifetimeSeconds\":600,"
                + "\"billingFlushMs\":20,\"registryEntries\":1000" + extra + "}";
    }

    private RouterControl start(String instance, String peers) {
        Result<RouterSettings> settings =
                SettingsLoader.parse(settings(instance, peers, "").getBytes(UTF_8), "test", RouterSettings.class);
        RouterControl router = RouterControl.builder()
                .settings(((Result.Ok<RouterSettings>) settings).value())
                .httpClient(http)
                .start();
        routers.add(router);
        return router;
    }

    private static void eventually(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(what).isLessThan(end);
            Thread.sleep(20);
        }
    }

    private static Result<Reservation> reserve(RouterControl router, long tokens) {
        return router.budgets()
                .reserve("plots", tokens, Duration.ofSeconds(2))
                .orTimeout(10, TimeUnit.SECONDS)
                .join();
    }

    @BeforeEach
    void prepare() {
        platform.write("config/head", 0, Json.tree(head(1))).join();
        BudgetRecord record = BudgetRecord.create("plots").withTopUp("t1", 10_000);
        platform.write("budgets/plots", 0, Json.tree(record)).join();
    }

    @AfterEach
    void stop() {
        routers.forEach(RouterControl::close);
        http.close();
        standIn.close();
    }

    @Test
    void twoRoutersFindEachOtherAndSpendThroughAnOutage() throws Exception {
        RouterControl a = start("a", "");
        RouterControl b = start("b", "\"127.0.0.1:" + a.peerPort() + "\"");
        for (RouterControl r : List.of(a, b)) {
            eventually("serving", () -> r.blackboard().config().isPresent());
            eventually("linked", () -> r.state().path("links").size() == 1);
            eventually("listed", () -> r.blackboard().routers().size() == 2);
        }
        assertThat(reserve(a, 4_000)).isInstanceOf(Result.Ok.class);
        a.billing()
                .bill(
                        new Bill(a.incarnation() + ".1.nonce001/plots", "plots", "plots", 10, "model", "complete"),
                        Optional.empty())
                .get(5, TimeUnit.SECONDS);
        Result<Reservation> held = reserve(a, 500);
        a.budgets().settle(((Result.Ok<Reservation>) held).value(), 0);
        standIn.inject(PlatformFaults.NONE.withOutage(true));
        Result<Reservation> transferred = reserve(b, 200);
        assertThat(transferred).isInstanceOf(Result.Ok.class);
        b.budgets().settle(((Result.Ok<Reservation>) transferred).value(), 200);
        standIn.inject(PlatformFaults.NONE);
        platform.write(
                        "config/head",
                        platform.read("config/head").join().orElseThrow().version(),
                        Json.tree(head(2)))
                .join();
        for (RouterControl r : List.of(a, b)) {
            eventually("revision 2", () -> r.state().path("configRevision").asLong() == 2);
        }
        eventually(
                "status objects",
                () -> platform.list("routers/", "", 10).join().objects().size() == 2);
    }

    @Test
    void unknownAndMalformedSettingsAreRefusedWithTheirPath() {
        String json = settings("Bad_Id", "\"host:1\"", ",\"threads\":4");
        var refused = (Result.Refused<RouterSettings>)
                SettingsLoader.parse(json.getBytes(UTF_8), "router.json", RouterSettings.class);
        assertThat(refused.refusal().code()).isEqualTo(ResultCode.INVALID_SETTINGS);
        assertThat(refused.refusal().detail()).contains("/instanceId:", "/peers/0:", "/threads:");
    }
}
