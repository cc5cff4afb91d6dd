package fakes

import (
	"database/sql"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgtype"
)

// columnOID maps a column to a PostgreSQL type: by its declared type, else by
// the value in the first row, else by a name that starts like an aggregate
// function.
func columnOID(t *sql.ColumnType, rows [][]any, i int) uint32 {
	declared := strings.ToUpper(t.DatabaseTypeName())
	switch {
	case strings.Contains(declared, "INT"):
		return pgtype.Int8OID
	case strings.Contains(declared, "BOOL"):
		return pgtype.BoolOID
	case strings.Contains(declared, "REAL"), strings.Contains(declared, "DOUBLE"), strings.Contains(declared, "FLOAT"), strings.Contains(declared, "NUMERIC"):
		return pgtype.Float8OID
	case strings.Contains(declared, "BLOB"), strings.Contains(declared, "BYTEA"):
		return pgtype.ByteaOID
	case declared != "":
		return pgtype.TextOID
	}
	if len(rows) > 0 {
		switch rows[0][i].(type) {
		case int64:
			return pgtype.Int8OID
		case float64:
			return pgtype.Float8OID
		case bool:
			return pgtype.BoolOID
		case []byte:
			return pgtype.ByteaOID
		case string:
			return pgtype.TextOID
		}
	}
	name := strings.ToLower(t.Name())
	for _, f := range []string{"count(", "sum(", "max(", "min(", "coalesce(sum(", "total("} {
		if strings.HasPrefix(name, f) {
			return pgtype.Int8OID
		}
	}
	return pgtype.TextOID
}

// encode returns a value encoded for the column's type in the given format code
// (0 for text, 1 for binary), and nil for NULL.
func encode(v any, oid uint32, format int16) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == 0 {
		return []byte(text(v)), nil
	}
	switch oid {
	case pgtype.Int8OID:
		n, err := strconv.ParseInt(text(v), 10, 64)
		if err != nil {
			return nil, errors.Wrap(err, "value does not match the type of its column")
		}
		return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
	case pgtype.Float8OID:
		f, err := strconv.ParseFloat(text(v), 64)
		if err != nil {
			return nil, errors.Wrap(err, "value does not match the type of its column")
		}
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
	case pgtype.BoolOID:
		if t := text(v); t == "t" || t == "1" {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case pgtype.ByteaOID:
		if b, ok := v.([]byte); ok {
			return b, nil
		}
	}
	return []byte(text(v)), nil
}

func text(v any) string {
	switch v := v.(type) {
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case bool:
		if v {
			return "t"
		}
		return "f"
	case []byte:
		return `\x` + hex.EncodeToString(v)
	case time.Time:
		return v.Format("2006-01-02 15:04:05.999999")
	case string:
		return v
	}
	return fmt.Sprint(v)
}

// decode decodes a parameter of the given type and format code (0 for text, 1
// for binary). A nil parameter is NULL.
func decode(raw []byte, oid uint32, format int16) (any, error) {
	if raw == nil {
		return nil, nil
	}
	if format == 1 {
		return decodeBinary(raw, oid)
	}
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		return strconv.ParseInt(string(raw), 10, 64)
	case pgtype.Float4OID, pgtype.Float8OID:
		return strconv.ParseFloat(string(raw), 64)
	case pgtype.BoolOID:
		return string(raw) == "t" || string(raw) == "true", nil
	case pgtype.ByteaOID:
		return hex.DecodeString(strings.TrimPrefix(string(raw), `\x`))
	}
	return string(raw), nil
}

func decodeBinary(raw []byte, oid uint32) (any, error) {
	switch {
	case oid == pgtype.Int8OID && len(raw) == 8:
		return int64(binary.BigEndian.Uint64(raw)), nil
	case oid == pgtype.Int4OID && len(raw) == 4:
		return int64(int32(binary.BigEndian.Uint32(raw))), nil
	case oid == pgtype.Int2OID && len(raw) == 2:
		return int64(int16(binary.BigEndian.Uint16(raw))), nil
	case oid == pgtype.Float8OID && len(raw) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(raw)), nil
	case oid == pgtype.BoolOID && len(raw) == 1:
		return raw[0] == 1, nil
	case oid == pgtype.TextOID, oid == pgtype.VarcharOID, oid == 0:
		return string(raw), nil
	case oid == pgtype.ByteaOID:
		return append([]byte(nil), raw...), nil
	}
	return nil, errors.Newf("unsupported binary parameter of type OID %d", oid)
}
