package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.route.RetryPolicy;
import io.hornbeamfield.core.route.Route;
import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.stream.OriginLookup;
import io.hornbeamfield.core.stream.StreamId;
import io.hornbeamfield.core.stream.StreamOrigin;
import io.hornbeamfield.platform.RequestHead;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Limits the servers of a request on a resumable route to those whose version may begin or continue its stream. */
final class StreamVersions {
    /** Another instance may remember the stream. */
    private static final long RETRY_AFTER_MS = 500;

    private final TrafficContext context;
    private final RequestHead head;
    private final boolean resumable;
    private final String service;
    private final String workspace;
    private final ServerSelection servers;
    private boolean begun;

    StreamVersions(
            TrafficContext context,
            RequestHead head,
            Route route,
            String service,
            Optional<WorkspaceAccess> workspace,
            ServerSelection servers) {
        this.context = context;
        this.head = head;
        this.resumable = route.retryPolicy() == RetryPolicy.RESUMABLE_STREAM;
        this.service = service;
        this.workspace = workspace.map(WorkspaceAccess::name).orElse("");
        this.servers = servers;
    }

    /** Refuses a request. */
    @FunctionalInterface
    interface Refusal {
        void refuse(ResultCode code, String detail, long retryAfterMs);
    }

    /**
     * Determines the servers to which the request may be sent. Exactly one of the actions runs, at once or, if others
     * have to be asked, as soon as it is certain; none if the request has ended by then.
     *
     * @param ended whether the request has ended
     * @param refusal called if it is not certain which version began the stream that the caller takes up
     */
    void determine(BooleanSupplier ended, Runnable onDetermined, Refusal refusal) {
        if (resumable && head.continuesStream()) {
            StreamId id = new StreamId(workspace, head.resumes());
            Consumer<OriginLookup.Result> onResult = result -> {
                if (!ended.getAsBoolean()) {
                    apply(result, onDetermined, refusal);
                }
            };
            context.origins()
                    .remembered(id, service)
                    .ifPresentOrElse(
                            onResult,
                            () -> context.origins()
                                    .find(
                                            id,
                                            service,
                                            result -> context.timers().soon(() -> onResult.accept(result))));
            return;
        }
        if (resumable) {
            servers.limitTo(context.blackboard()::mayBeginStream);
        }
        onDetermined.run();
    }

    private void apply(OriginLookup.Result result, Runnable onDetermined, Refusal refusal) {
        if (result instanceof OriginLookup.Result.Known known) {
            limitTo(known.version());
            onDetermined.run();
        } else {
            refusal.refuse(
                    ResultCode.STREAM_ORIGIN_UNKNOWN,
                    "Begin a new stream, or take this one up at another instance.",
                    RETRY_AFTER_MS);
        }
    }

    private void limitTo(String version) {
        servers.limitTo(server -> server.version().equals(version));
    }

    /**
     * Called for each part of the answer.
     *
     * @param started whether the caller has received an event
     * @param server the server that sent the part
     */
    void eventForwarded(boolean started, BackendServer server) {
        if (!resumable || !started || begun) {
            return;
        }
        begun = true;
        limitTo(server.version());
        StreamOrigin origin = StreamOrigin.of(service, server.version());
        context.origins().begun(new StreamId(workspace, head.attemptId()), origin);
        if (!head.resumes().isEmpty()) {
            context.origins().begun(new StreamId(workspace, head.resumes()), origin);
        }
    }
}
