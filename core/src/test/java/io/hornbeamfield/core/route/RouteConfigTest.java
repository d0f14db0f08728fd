package io.hornbeamfield.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against sending requests to the service of another route. */
final class RouteConfigTest {
    private final RouteConfig config = new RouteConfig(
            7,
            List.of(route("outer", "/a/"), route("inner", "/a/b/"), route("other", "/ab/")),
            List.of(),
            new CallerLimits(1, 1, 1, 1),
            Optional.empty());

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "api.example",
                prefix,
                RetryPolicy.IDEMPOTENT,
                List.of(new WeightedService("s1", 90), new WeightedService("s2", 10)),
                1,
                1_000,
                100,
                0,
                0,
                false);
    }

    private String matched(String host, String path) {
        return config.match(host, path).map(Route::name).orElse("none");
    }

    @Test
    void theLongestPrefixThatBeginsThePathWins() {
        assertThat(matched("api.example", "/a/b/c")).isEqualTo("inner");
        assertThat(matched("api.example", "/a/c/b/")).isEqualTo("outer");
        assertThat(matched("API.example:8080", "/a/b/")).isEqualTo("inner");
    }

    @Test
    void aPrefixEndsAtASlash() {
        assertThat(matched("api.example", "/abc")).isEqualTo("none");
        assertThat(matched("api.example", "/a")).isEqualTo("none");
        assertThat(matched("api.example", "/ab/x")).isEqualTo("other");
    }

    @Test
    void anotherHostHasNoRoutes() {
        assertThat(matched("other.example", "/a/b/")).isEqualTo("none");
    }

    @Test
    void servicesArePickedByWeight() {
        Route r = config.match("api.example", "/a/").orElseThrow();
        Random random = new Random(3);
        int second = 0;
        for (int i = 0; i < 10_000; i++) {
            second += r.pickService(random).equals("s2") ? 1 : 0;
        }
        assertThat(second).isBetween(850, 1_150);
    }
}
