package io.hornbeamfield.core.route;

/**
 * The properties that all model engines of a service share.
 *
 * @param slots number of requests that an engine runs concurrently
 * @param cacheTokens number of prompt and answer tokens that fit in the cache of an engine
 * @param tokensPerEvent largest number of tokens in one event of a stream
 */
public record EngineSpec(int slots, long cacheTokens, int tokensPerEvent) {}
