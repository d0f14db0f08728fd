package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.routing.BackendView;
import java.time.Duration;
import java.util.concurrent.Executor;

/** Creates the attempts of one request, each with its own engine request id. */
final class AttemptFactory {
    private static final Duration SERVICE_TIMEOUT = Duration.ofSeconds(30);

    private final TrafficContext context;
    private final CallerRequest request;
    private final Executor executor;
    private final Attempt.Listener listener;

    AttemptFactory(TrafficContext context, CallerRequest request, Executor executor, Attempt.Listener listener) {
        this.context = context;
        this.request = request;
        this.executor = executor;
        this.listener = listener;
    }

    Attempt create(BackendView server, int number) {
        if (request.work() instanceof Work.Model model) {
            EngineClient engine = new EngineClient(context.client(), server.address(), engineRequestId(number));
            Duration silenceTimeout = Duration.ofMillis(context.preset().streamSilenceMs());
            return new ModelAttempt(engine, request, model, silenceTimeout, executor, context.timer(), listener);
        }
        Work.Service service = (Work.Service) request.work();
        return new ServiceAttempt(
                context.client(), server.address(), request, service, serviceTimeout(), executor, listener);
    }

    /**
     * Returns an id that includes the workspace, because keys are scoped by workspace. The id of a takeover run also
     * includes the incarnation that took over, because the owner may have attempts of its own.
     */
    private String engineRequestId(int number) {
        String key =
                request.key().text() + "~" + Hashes.sha256(request.workspace()).substring(0, 8);
        return request.key().owner().equals(context.incarnation())
                ? key + "~" + number
                : key + "~" + context.incarnation() + "~" + number;
    }

    private Duration serviceTimeout() {
        Duration left = request.deadline().remaining(context.clock()).plusMillis(1);
        return left.compareTo(SERVICE_TIMEOUT) < 0 ? left : SERVICE_TIMEOUT;
    }
}
