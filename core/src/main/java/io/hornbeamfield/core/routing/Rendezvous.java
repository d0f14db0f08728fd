package io.hornbeamfield.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Rendezvous (highest random weight) hashing. Each key is assigned to the node with the largest weight; if a node is
 * removed, only its keys are reassigned.
 *
 * <pre>{@code
 * long w = Rendezvous.weight("plots", "router-3");
 * }</pre>
 */
public final class Rendezvous {
    private static final HashFunction HASH = Hashing.murmur3_128(0x68626631);

    private Rendezvous() {}

    /** Returns the non-negative weight of a node for a key. */
    public static long weight(String key, String node) {
        return HASH.newHasher()
                        .putString(key, StandardCharsets.UTF_8)
                        .putByte((byte) 0)
                        .putString(node, StandardCharsets.UTF_8)
                        .hash()
                        .asLong()
                & Long.MAX_VALUE;
    }
}
