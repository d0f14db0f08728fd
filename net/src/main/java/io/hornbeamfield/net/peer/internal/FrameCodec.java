package io.hornbeamfield.net.peer.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.net.peer.PeerTransport;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes messages as frames and decodes them. A frame is a 4-byte big-endian length and a MessagePack map. */
final class FrameCodec {
    static final int HEADER_BYTES = Integer.BYTES;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private FrameCodec() {}

    static byte[] encode(PeerMessage message) {
        byte[] body;
        try {
            body = MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "Cannot encode " + message.getClass().getSimpleName() + ".", e);
        }
        if (body.length > PeerTransport.MAX_FRAME_BYTES) {
            throw new IllegalArgumentException("A " + message.getClass().getSimpleName() + " of " + body.length
                    + " bytes exceeds the frame limit of " + PeerTransport.MAX_FRAME_BYTES + " bytes.");
        }
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    static PeerMessage decode(byte[] body) throws IOException {
        checkLengths(body);
        return MAPPER.readValue(body, PeerMessage.class);
    }

    /** The parser allocates what a length in the frame says before it reads the bytes. */
    private static void checkLengths(byte[] body) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            unpacker.skipValue();
            if (unpacker.getTotalReadBytes() != body.length) {
                throw new IOException("The frame has " + body.length + " bytes, but its value has "
                        + unpacker.getTotalReadBytes() + ".");
            }
        } catch (MessagePackException e) {
            throw new IOException("The frame holds no complete MessagePack value.", e);
        }
    }
}
