package io.hornbeamfield.standins.engine;

/**
 * What an engine did for one request. The state is {@code waiting}, {@code running}, {@code finished} or
 * {@code cancelled}. The identity is that of {@link ReplyText#identity}. The tokens are those really read and produced,
 * also after the caller has gone.
 */
public record EngineRecord(
        String requestId,
        String workspace,
        String identity,
        String model,
        int promptTokens,
        int completionTokens,
        int maxTokens,
        long startedMs,
        long endedMs,
        String state) {}
