package fakes

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/route"
)

// parse prepares a statement. It fails if the statement names tables or columns
// that do not exist.
func (s *session) parse(m *pgproto3.Parse) error {
	st := prepared{sql: m.Query, params: params(m)}
	if _, err := s.columns(st); err != nil {
		return err
	}
	s.statements[m.Name] = st
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// params returns the parameter types of a Parse message, with zero for each type
// that the message leaves unspecified.
func params(m *pgproto3.Parse) []uint32 {
	list := append([]uint32(nil), m.ParameterOIDs...)
	for i := 1; i < 200; i++ {
		if i > len(list) && strings.Contains(m.Query, "$"+strconv.Itoa(i)) {
			list = append(list, 0)
		}
	}
	return list
}

func (s *session) bind(m *pgproto3.Bind) error {
	st, ok := s.statements[m.PreparedStatement]
	if !ok {
		return &pgwire.ServerError{Code: "26000", Message: "prepared statement does not exist"}
	}
	p := portal{stmt: st, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		oid := uint32(0)
		if i < len(st.params) {
			oid = st.params[i]
		}
		v, err := decode(raw, oid, format(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		p.args = append(p.args, v)
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// format returns the format code of the value at index i. By the protocol an
// empty list means text for all values, and a list of one code applies to all
// values.
func format(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return 0
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return 0
}

func (s *session) describe(m *pgproto3.Describe) error {
	st, formats := s.statements[m.Name], []int16(nil)
	if m.ObjectType == 'P' {
		p, ok := s.portals[m.Name]
		if !ok {
			return &pgwire.ServerError{Code: "34000", Message: "portal does not exist"}
		}
		st, formats = p.stmt, p.formats
	} else {
		if st.sql == "" {
			return &pgwire.ServerError{Code: "26000", Message: "prepared statement does not exist"}
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: st.params})
	}
	cols, err := s.columns(st)
	if err != nil {
		return err
	}
	if cols == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(cols, formats))
	return nil
}

// columns returns the columns of a statement. A read is described in the engine
// that serves the session's reads. A write that returns rows is described under
// the write lock and rolled back at once.
func (s *session) columns(st prepared) ([]column, error) {
	c, _ := route.Classify(st.sql)
	if c.Kind != route.Write || !hasRows(st.sql) || s.target.Status().Role != pollendoor.Primary {
		return s.target.readEngine(s.hasWriteLock).describe(st.sql, len(st.params))
	}
	if err := s.begin(); err != nil {
		return nil, err
	}
	defer s.releaseDescribeLock()
	return s.target.readEngine(true).describe(st.sql, len(st.params))
}

func rowDescription(cols []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range cols {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: -1, TypeModifier: -1, Format: format(formats, i),
		})
	}
	return d
}

func (s *session) sendRows(res *result, formats []int16) error {
	for _, r := range res.rows {
		row := &pgproto3.DataRow{}
		for i, v := range r {
			raw, err := encode(v, res.columns[i].oid, format(formats, i))
			if err != nil {
				return err
			}
			row.Values = append(row.Values, raw)
		}
		s.backend.Send(row)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}

func (s *session) execute(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return &pgwire.ServerError{Code: "34000", Message: "portal does not exist"}
	}
	res, err := s.exec(statement{SQL: p.stmt.sql, Args: p.args})
	if err != nil {
		return err
	}
	return s.sendRows(res, p.formats)
}
