package io.hornbeamfield.net.peer;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.core.quarantine.CrashEvidence;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A message between routers. Unknown fields are ignored, so that routers of different versions can be linked during a
 * rolling upgrade.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "Hello"),
    @JsonSubTypes.Type(value = PeerMessage.Proof.class, name = "Proof"),
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "Heartbeat"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigRequest.class, name = "ConfigRequest"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigOffer.class, name = "ConfigOffer"),
    @JsonSubTypes.Type(value = PeerMessage.TransferRequest.class, name = "TransferRequest"),
    @JsonSubTypes.Type(value = PeerMessage.TransferGrant.class, name = "TransferGrant"),
    @JsonSubTypes.Type(value = PeerMessage.LimitUpdate.class, name = "LimitUpdate"),
    @JsonSubTypes.Type(value = PeerMessage.LimitAck.class, name = "LimitAck"),
    @JsonSubTypes.Type(value = PeerMessage.LimitQuery.class, name = "LimitQuery"),
    @JsonSubTypes.Type(value = PeerMessage.LimitReply.class, name = "LimitReply"),
    @JsonSubTypes.Type(value = PeerMessage.StreamsBegun.class, name = "StreamsBegun"),
    @JsonSubTypes.Type(value = PeerMessage.StreamQuery.class, name = "StreamQuery"),
    @JsonSubTypes.Type(value = PeerMessage.StreamReply.class, name = "StreamReply")
})
public sealed interface PeerMessage {

    /** The first message of each side. The nonce is hexadecimal and unique to the connection. */
    record Hello(String incarnation, String instanceId, String zone, String callerAddress, String nonce)
            implements PeerMessage {}

    /** The second message of each side, which proves knowledge of the shared secret. */
    record Proof(String hmac) implements PeerMessage {}

    /**
     * Signals that the sender is alive and reports its status. The age is the time since the configuration revision was
     * last confirmed. Revision 0 means that the sender has no configuration. The crashes of backend servers are those
     * that the sender has learnt of, by the instance that has seen them; older versions omit them.
     */
    record Heartbeat(
            long sequence,
            long configRevision,
            long configAgeMs,
            ServerState state,
            int inFlight,

            Optional<Map<String, CrashEvidence>> crashes)
            implements PeerMessage {

        /** Creates a message from its fields. */
        @JsonCreator
        public Heartbeat {}

        /** Creates the heartbeat of a router that knows of no crashes. */
        public Heartbeat(long sequence, long configRevision, long configAgeMs, ServerState state, int inFlight) {
            this(sequence, configRevision, configAgeMs, state, inFlight, Optional.empty());
        }
    }

    /** Requests the configuration from a receiver that has the given revision or a newer one. */
    record ConfigRequest(long revision) implements PeerMessage {}

    /** A complete configuration. The shards are keyed by their two-digit number. */
    record ConfigOffer(ConfigHead head, Map<String, WorkspaceShard> shards) implements PeerMessage {
        public ConfigOffer {
            shards = Map.copyOf(shards);
        }
    }

    /**
     * Requests tokens of a budget. Preferred is the number of tokens that the sender would rather receive, to serve its
     * next requests as well; 0 if it wants no more than the tokens. Older versions omit it.
     */
    record TransferRequest(String transferId, String budget, long tokens, long preferred) implements PeerMessage {
        /** Requests the given tokens only. */
        public TransferRequest(String transferId, String budget, long tokens) {
            this(transferId, budget, tokens, 0);
        }
    }

    /**
     * Transfers tokens that the sender has already debited; 0 tokens means that there is nothing to transfer. Held is
     * the amount that the sender has available or reserved after the transfer; older versions omit it.
     */
    record TransferGrant(
            String transferId,
            String budget,
            long tokens,
            @Nullable Long held) implements PeerMessage {}

    /** Tells a witness the upper limit of what the sender uses of its prepaid holdings, by workspace. */
    record LimitUpdate(String holder, Map<String, Long> limits) implements PeerMessage {
        public LimitUpdate {
            limits = Map.copyOf(limits);
        }
    }

    /** Acknowledges that the sender has stored these limits of the holder. */
    record LimitAck(String holder, Map<String, Long> limits) implements PeerMessage {
        public LimitAck {
            limits = Map.copyOf(limits);
        }
    }

    /**
     * Asks a witness for the limits of a holder that has terminated. The witness accepts no further updates from it.
     */
    record LimitQuery(String holder) implements PeerMessage {}

    /** The limits of a holder that has terminated; unknown if the sender was started after it became a witness. */
    record LimitReply(String holder, boolean known, Map<String, Long> limits) implements PeerMessage {
        public LimitReply {
            limits = Map.copyOf(limits);
        }
    }

    /**
     * A message about the versions that began streams. Only instances that register that they remember streams get it.
     */
    sealed interface AboutStreams extends PeerMessage {}

    /**
     * A stream that has begun.
     *
     * @param attemptId attempt of the caller that got its first event
     * @param version version of the server that sent this event; empty if several streams have the same id
     */
    record BegunStream(String workspace, String attemptId, String service, Optional<String> version) {}

    /**
     * Tells the receiver of streams that it remembers from now on.
     *
     * @param keep whether the receiver also keeps them in the store while several versions serve
     */
    record StreamsBegun(List<BegunStream> streams, boolean keep) implements AboutStreams {
        public StreamsBegun {
            streams = List.copyOf(streams);
        }
    }

    /** Asks whether the receiver remembers a stream. */
    record StreamQuery(String queryId, String workspace, String attemptId) implements AboutStreams {}

    /** The stream that was asked for, empty if the sender does not remember it. */
    record StreamReply(String queryId, Optional<BegunStream> stream) implements AboutStreams {}
}
