/** Validator generated from schema/membership.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"MembershipMessage","description":"What hosts tell each other of who is alive.","type":"object","discriminator":{"propertyName":"type"},"required":["type"],"oneOf":[{"$ref":"#/$defs/Ping"},{"$ref":"#/$defs/Ack"},{"$ref":"#/$defs/Relay"},{"$ref":"#/$defs/Vouch"},{"$ref":"#/$defs/MemberNews"},{"$ref":"#/$defs/MemberCompare"},{"$ref":"#/$defs/MemberEntries"}],"$defs":{"Member":{"title":"Member","description":"What is known of one host.","type":"object","additionalProperties":false,"required":["id","dataCentre","address","port","incarnation","sequence","status"],"properties":{"id":{"type":"string","minLength":1,"maxLength":64},"dataCentre":{"type":"string","minLength":1,"maxLength":64},"region":{"type":"string","minLength":1,"maxLength":64},"address":{"type":"string","minLength":1,"maxLength":64},"port":{"type":"integer","minimum":0,"maximum":65535},"incarnation":{"description":"Grows with each start of the host.","type":"integer","minimum":0},"sequence":{"description":"Grows with each statement of the host in one incarnation.","type":"integer","minimum":0},"status":{"$ref":"#/$defs/MemberStatus"},"drain":{"description":"Why the host takes no new work; absent when it does.","type":"string","maxLength":200}}},"MemberStatus":{"title":"MemberStatus","enum":["alive","suspect","dead","left"]},"Ping":{"title":"Ping","description":"Asks for an ack.","type":"object","additionalProperties":false,"required":["type","probe","root"],"properties":{"type":{"const":"ping"},"probe":{"type":"integer","minimum":0},"root":{"type":"string","maxLength":8},"news":{"$ref":"#/$defs/MemberList"}}},"Ack":{"title":"Ack","description":"Answers a ping.","type":"object","additionalProperties":false,"required":["type","probe","root"],"properties":{"type":{"const":"ack"},"probe":{"type":"integer","minimum":0},"root":{"type":"string","maxLength":8},"news":{"$ref":"#/$defs/MemberList"}}},"Relay":{"title":"Relay","description":"Asks another host to ping the subject.","type":"object","additionalProperties":false,"required":["type","probe","subject"],"properties":{"type":{"const":"relay"},"probe":{"type":"integer","minimum":0},"subject":{"type":"string","minLength":1,"maxLength":64}}},"Vouch":{"title":"Vouch","description":"Tells the host that asked for a relay that the subject answered.","type":"object","additionalProperties":false,"required":["type","probe"],"properties":{"type":{"const":"vouch"},"probe":{"type":"integer","minimum":0}}},"MemberNews":{"title":"MemberNews","description":"Changes on their way to all hosts.","type":"object","additionalProperties":false,"required":["type","news"],"properties":{"type":{"const":"news"},"news":{"$ref":"#/$defs/MemberList"},"brief":{"description":"Id, status, incarnation, sequence and hash of the rest, of members that the receiver should know.","type":"array","maxItems":512,"items":{"type":"string","minLength":1,"maxLength":128}}}},"MemberCompare":{"title":"MemberCompare","description":"Hashes of all groups, or of the buckets of one group.","type":"object","additionalProperties":false,"required":["type","hashes"],"properties":{"type":{"const":"compare"},"group":{"type":"integer","minimum":0,"maximum":15},"hashes":{"type":"array","maxItems":32,"items":{"type":"string","maxLength":8}}}},"MemberEntries":{"title":"MemberEntries","description":"All that the sender knows in some buckets.","type":"object","additionalProperties":false,"required":["type","buckets","news","reply"],"properties":{"type":{"const":"entries"},"buckets":{"type":"array","maxItems":256,"items":{"type":"integer","minimum":0,"maximum":255}},"news":{"$ref":"#/$defs/MemberList"},"reply":{"description":"Whether the sender wants back what is newer.","type":"boolean"}}},"MemberList":{"title":"MemberList","type":"array","maxItems":512,"items":{"$ref":"#/$defs/Member"}}}};
const schema39 = {"title":"Relay","description":"Asks another host to ping the subject.","type":"object","additionalProperties":false,"required":["type","probe","subject"],"properties":{"type":{"const":"relay"},"probe":{"type":"integer","minimum":0},"subject":{"type":"string","minLength":1,"maxLength":64}}};
const schema40 = {"title":"Vouch","description":"Tells the host that asked for a relay that the subject answered.","type":"object","additionalProperties":false,"required":["type","probe"],"properties":{"type":{"const":"vouch"},"probe":{"type":"integer","minimum":0}}};
const schema41 = {"title":"MemberCompare","description":"Hashes of all groups, or of the buckets of one group.","type":"object","additionalProperties":false,"required":["type","hashes"],"properties":{"type":{"const":"compare"},"group":{"type":"integer","minimum":0,"maximum":15},"hashes":{"type":"array","maxItems":32,"items":{"type":"string","maxLength":8}}}};
const schema32 = {"title":"Ping","description":"Asks for an ack.","type":"object","additionalProperties":false,"required":["type","probe","root"],"properties":{"type":{"const":"ping"},"probe":{"type":"integer","minimum":0},"root":{"type":"string","maxLength":8},"news":{"$ref":"#/$defs/MemberList"}}};
const schema33 = {"title":"MemberList","type":"array","maxItems":512,"items":{"$ref":"#/$defs/Member"}};
const schema34 = {"title":"Member","description":"What is known of one host.","type":"object","additionalProperties":false,"required":["id","dataCentre","address","port","incarnation","sequence","status"],"properties":{"id":{"type":"string","minLength":1,"maxLength":64},"dataCentre":{"type":"string","minLength":1,"maxLength":64},"region":{"type":"string","minLength":1,"maxLength":64},"address":{"type":"string","minLength":1,"maxLength":64},"port":{"type":"integer","minimum":0,"maximum":65535},"incarnation":{"description":"Grows with each start of the host.","type":"integer","minimum":0},"sequence":{"description":"Grows with each statement of the host in one incarnation.","type":"integer","minimum":0},"status":{"$ref":"#/$defs/MemberStatus"},"drain":{"description":"Why the host takes no new work; absent when it does.","type":"string","maxLength":200}}};
const schema35 = {"title":"MemberStatus","enum":["alive","suspect","dead","left"]};
const func1 = Object.prototype.hasOwnProperty;

function validate23(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate23.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((((data.id === undefined) && (missing0 = "id")) || ((data.dataCentre === undefined) && (missing0 = "dataCentre"))) || ((data.address === undefined) && (missing0 = "address"))) || ((data.port === undefined) && (missing0 = "port"))) || ((data.incarnation === undefined) && (missing0 = "incarnation"))) || ((data.sequence === undefined) && (missing0 = "sequence"))) || ((data.status === undefined) && (missing0 = "status"))){
validate23.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema34.required,parentSchema:schema34,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(func1.call(schema34.properties, key0))){
validate23.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema34,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.id !== undefined){
let data0 = data.id;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 64){
validate23.errors = [{instancePath:instancePath+"/id",schemaPath:"#/properties/id/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema34.properties.id,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate23.errors = [{instancePath:instancePath+"/id",schemaPath:"#/properties/id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.id,data:data0}];
return false;
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/id",schemaPath:"#/properties/id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.id.type,parentSchema:schema34.properties.id,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data1 = data.dataCentre;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 64){
validate23.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/properties/dataCentre/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema34.properties.dataCentre,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate23.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/properties/dataCentre/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.dataCentre,data:data1}];
return false;
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/properties/dataCentre/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.dataCentre.type,parentSchema:schema34.properties.dataCentre,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.region !== undefined){
let data2 = data.region;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 64){
validate23.errors = [{instancePath:instancePath+"/region",schemaPath:"#/properties/region/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema34.properties.region,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate23.errors = [{instancePath:instancePath+"/region",schemaPath:"#/properties/region/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.region,data:data2}];
return false;
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/region",schemaPath:"#/properties/region/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.region.type,parentSchema:schema34.properties.region,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.address !== undefined){
let data3 = data.address;
const _errs8 = errors;
if(errors === _errs8){
if(typeof data3 === "string"){
if(data3.length > 64){
validate23.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema34.properties.address,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate23.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.address,data:data3}];
return false;
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.address.type,parentSchema:schema34.properties.address,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.port !== undefined){
let data4 = data.port;
const _errs10 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate23.errors = [{instancePath:instancePath+"/port",schemaPath:"#/properties/port/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema34.properties.port.type,parentSchema:schema34.properties.port,data:data4}];
return false;
}
if(errors === _errs10){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 > 65535 || isNaN(data4)){
validate23.errors = [{instancePath:instancePath+"/port",schemaPath:"#/properties/port/maximum",keyword:"maximum",params:{comparison: "<=", limit: 65535},message:"must be <= 65535",schema:65535,parentSchema:schema34.properties.port,data:data4}];
return false;
}
else {
if(data4 < 0 || isNaN(data4)){
validate23.errors = [{instancePath:instancePath+"/port",schemaPath:"#/properties/port/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34.properties.port,data:data4}];
return false;
}
}
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.incarnation !== undefined){
let data5 = data.incarnation;
const _errs12 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate23.errors = [{instancePath:instancePath+"/incarnation",schemaPath:"#/properties/incarnation/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema34.properties.incarnation.type,parentSchema:schema34.properties.incarnation,data:data5}];
return false;
}
if(errors === _errs12){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate23.errors = [{instancePath:instancePath+"/incarnation",schemaPath:"#/properties/incarnation/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34.properties.incarnation,data:data5}];
return false;
}
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.sequence !== undefined){
let data6 = data.sequence;
const _errs14 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate23.errors = [{instancePath:instancePath+"/sequence",schemaPath:"#/properties/sequence/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema34.properties.sequence.type,parentSchema:schema34.properties.sequence,data:data6}];
return false;
}
if(errors === _errs14){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 0 || isNaN(data6)){
validate23.errors = [{instancePath:instancePath+"/sequence",schemaPath:"#/properties/sequence/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34.properties.sequence,data:data6}];
return false;
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.status !== undefined){
let data7 = data.status;
const _errs16 = errors;
if(!((((data7 === "alive") || (data7 === "suspect")) || (data7 === "dead")) || (data7 === "left"))){
validate23.errors = [{instancePath:instancePath+"/status",schemaPath:"#/$defs/MemberStatus/enum",keyword:"enum",params:{allowedValues: schema35.enum},message:"must be equal to one of the allowed values",schema:schema35.enum,parentSchema:schema35,data:data7}];
return false;
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.drain !== undefined){
let data8 = data.drain;
const _errs18 = errors;
if(errors === _errs18){
if(typeof data8 === "string"){
if(data8.length > 200){
validate23.errors = [{instancePath:instancePath+"/drain",schemaPath:"#/properties/drain/maxLength",keyword:"maxLength",params:{limit: 200},message:"must NOT have more than 200 characters",schema:200,parentSchema:schema34.properties.drain,data:data8}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/drain",schemaPath:"#/properties/drain/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.drain.type,parentSchema:schema34.properties.drain,data:data8}];
return false;
}
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate23.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema34.type,parentSchema:schema34,data}];
return false;
}
}
validate23.errors = vErrors;
return errors === 0;
}
validate23.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate22(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate22.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(Array.isArray(data)){
if(data.length > 512){
validate22.errors = [{instancePath,schemaPath:"#/maxItems",keyword:"maxItems",params:{limit: 512},message:"must NOT have more than 512 items",schema:512,parentSchema:schema33,data}];
return false;
}
else {
var valid0 = true;
const len0 = data.length;
for(let i0=0; i0<len0; i0++){
const _errs1 = errors;
if(!(validate23(data[i0], {instancePath:instancePath+"/" + i0,parentData:data,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate23.errors : vErrors.concat(validate23.errors);
errors = vErrors.length;
}
var valid0 = _errs1 === errors;
if(!valid0){
break;
}
}
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema33.type,parentSchema:schema33,data}];
return false;
}
}
validate22.errors = vErrors;
return errors === 0;
}
validate22.evaluated = {"items":true,"dynamicProps":false,"dynamicItems":false};


function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.probe === undefined) && (missing0 = "probe"))) || ((data.root === undefined) && (missing0 = "root"))){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "type") || (key0 === "probe")) || (key0 === "root")) || (key0 === "news"))){
validate21.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema32,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("ping" !== data0){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "ping"},message:"must be equal to constant",schema:"ping",parentSchema:schema32.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.probe !== undefined){
let data1 = data.probe;
const _errs3 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate21.errors = [{instancePath:instancePath+"/probe",schemaPath:"#/properties/probe/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema32.properties.probe.type,parentSchema:schema32.properties.probe,data:data1}];
return false;
}
if(errors === _errs3){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate21.errors = [{instancePath:instancePath+"/probe",schemaPath:"#/properties/probe/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema32.properties.probe,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.root !== undefined){
let data2 = data.root;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data2 === "string"){
if(data2.length > 8){
validate21.errors = [{instancePath:instancePath+"/root",schemaPath:"#/properties/root/maxLength",keyword:"maxLength",params:{limit: 8},message:"must NOT have more than 8 characters",schema:8,parentSchema:schema32.properties.root,data:data2}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/root",schemaPath:"#/properties/root/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.root.type,parentSchema:schema32.properties.root,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.news !== undefined){
const _errs7 = errors;
if(!(validate22(data.news, {instancePath:instancePath+"/news",parentData:data,parentDataProperty:"news",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema36 = {"title":"Ack","description":"Answers a ping.","type":"object","additionalProperties":false,"required":["type","probe","root"],"properties":{"type":{"const":"ack"},"probe":{"type":"integer","minimum":0},"root":{"type":"string","maxLength":8},"news":{"$ref":"#/$defs/MemberList"}}};

function validate26(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate26.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.probe === undefined) && (missing0 = "probe"))) || ((data.root === undefined) && (missing0 = "root"))){
validate26.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema36.required,parentSchema:schema36,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "type") || (key0 === "probe")) || (key0 === "root")) || (key0 === "news"))){
validate26.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema36,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("ack" !== data0){
validate26.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "ack"},message:"must be equal to constant",schema:"ack",parentSchema:schema36.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.probe !== undefined){
let data1 = data.probe;
const _errs3 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate26.errors = [{instancePath:instancePath+"/probe",schemaPath:"#/properties/probe/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema36.properties.probe.type,parentSchema:schema36.properties.probe,data:data1}];
return false;
}
if(errors === _errs3){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate26.errors = [{instancePath:instancePath+"/probe",schemaPath:"#/properties/probe/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema36.properties.probe,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.root !== undefined){
let data2 = data.root;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data2 === "string"){
if(data2.length > 8){
validate26.errors = [{instancePath:instancePath+"/root",schemaPath:"#/properties/root/maxLength",keyword:"maxLength",params:{limit: 8},message:"must NOT have more than 8 characters",schema:8,parentSchema:schema36.properties.root,data:data2}];
return false;
}
}
else {
validate26.errors = [{instancePath:instancePath+"/root",schemaPath:"#/properties/root/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema36.properties.root.type,parentSchema:schema36.properties.root,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.news !== undefined){
const _errs7 = errors;
if(!(validate22(data.news, {instancePath:instancePath+"/news",parentData:data,parentDataProperty:"news",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate26.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema36.type,parentSchema:schema36,data}];
return false;
}
}
validate26.errors = vErrors;
return errors === 0;
}
validate26.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema37 = {"title":"MemberNews","description":"Changes on their way to all hosts.","type":"object","additionalProperties":false,"required":["type","news"],"properties":{"type":{"const":"news"},"news":{"$ref":"#/$defs/MemberList"},"brief":{"description":"Id, status, incarnation, sequence and hash of the rest, of members that the receiver should know.","type":"array","maxItems":512,"items":{"type":"string","minLength":1,"maxLength":128}}}};

function validate28(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate28.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.news === undefined) && (missing0 = "news"))){
validate28.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema37.required,parentSchema:schema37,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "type") || (key0 === "news")) || (key0 === "brief"))){
validate28.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema37,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("news" !== data0){
validate28.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "news"},message:"must be equal to constant",schema:"news",parentSchema:schema37.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.news !== undefined){
const _errs3 = errors;
if(!(validate22(data.news, {instancePath:instancePath+"/news",parentData:data,parentDataProperty:"news",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.brief !== undefined){
let data2 = data.brief;
const _errs4 = errors;
if(errors === _errs4){
if(Array.isArray(data2)){
if(data2.length > 512){
validate28.errors = [{instancePath:instancePath+"/brief",schemaPath:"#/properties/brief/maxItems",keyword:"maxItems",params:{limit: 512},message:"must NOT have more than 512 items",schema:512,parentSchema:schema37.properties.brief,data:data2}];
return false;
}
else {
var valid1 = true;
const len0 = data2.length;
for(let i0=0; i0<len0; i0++){
let data3 = data2[i0];
const _errs6 = errors;
if(errors === _errs6){
if(typeof data3 === "string"){
if(data3.length > 128){
validate28.errors = [{instancePath:instancePath+"/brief/" + i0,schemaPath:"#/properties/brief/items/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema37.properties.brief.items,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate28.errors = [{instancePath:instancePath+"/brief/" + i0,schemaPath:"#/properties/brief/items/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema37.properties.brief.items,data:data3}];
return false;
}
}
}
else {
validate28.errors = [{instancePath:instancePath+"/brief/" + i0,schemaPath:"#/properties/brief/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema37.properties.brief.items.type,parentSchema:schema37.properties.brief.items,data:data3}];
return false;
}
}
var valid1 = _errs6 === errors;
if(!valid1){
break;
}
}
}
}
else {
validate28.errors = [{instancePath:instancePath+"/brief",schemaPath:"#/properties/brief/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema37.properties.brief.type,parentSchema:schema37.properties.brief,data:data2}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate28.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema37.type,parentSchema:schema37,data}];
return false;
}
}
validate28.errors = vErrors;
return errors === 0;
}
validate28.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema38 = {"title":"MemberEntries","description":"All that the sender knows in some buckets.","type":"object","additionalProperties":false,"required":["type","buckets","news","reply"],"properties":{"type":{"const":"entries"},"buckets":{"type":"array","maxItems":256,"items":{"type":"integer","minimum":0,"maximum":255}},"news":{"$ref":"#/$defs/MemberList"},"reply":{"description":"Whether the sender wants back what is newer.","type":"boolean"}}};

function validate30(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate30.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.buckets === undefined) && (missing0 = "buckets"))) || ((data.news === undefined) && (missing0 = "news"))) || ((data.reply === undefined) && (missing0 = "reply"))){
validate30.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema38.required,parentSchema:schema38,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "type") || (key0 === "buckets")) || (key0 === "news")) || (key0 === "reply"))){
validate30.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema38,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("entries" !== data0){
validate30.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "entries"},message:"must be equal to constant",schema:"entries",parentSchema:schema38.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.buckets !== undefined){
let data1 = data.buckets;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
if(data1.length > 256){
validate30.errors = [{instancePath:instancePath+"/buckets",schemaPath:"#/properties/buckets/maxItems",keyword:"maxItems",params:{limit: 256},message:"must NOT have more than 256 items",schema:256,parentSchema:schema38.properties.buckets,data:data1}];
return false;
}
else {
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
let data2 = data1[i0];
const _errs5 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate30.errors = [{instancePath:instancePath+"/buckets/" + i0,schemaPath:"#/properties/buckets/items/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema38.properties.buckets.items.type,parentSchema:schema38.properties.buckets.items,data:data2}];
return false;
}
if(errors === _errs5){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 > 255 || isNaN(data2)){
validate30.errors = [{instancePath:instancePath+"/buckets/" + i0,schemaPath:"#/properties/buckets/items/maximum",keyword:"maximum",params:{comparison: "<=", limit: 255},message:"must be <= 255",schema:255,parentSchema:schema38.properties.buckets.items,data:data2}];
return false;
}
else {
if(data2 < 0 || isNaN(data2)){
validate30.errors = [{instancePath:instancePath+"/buckets/" + i0,schemaPath:"#/properties/buckets/items/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema38.properties.buckets.items,data:data2}];
return false;
}
}
}
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
}
else {
validate30.errors = [{instancePath:instancePath+"/buckets",schemaPath:"#/properties/buckets/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema38.properties.buckets.type,parentSchema:schema38.properties.buckets,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.news !== undefined){
const _errs7 = errors;
if(!(validate22(data.news, {instancePath:instancePath+"/news",parentData:data,parentDataProperty:"news",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.reply !== undefined){
let data4 = data.reply;
const _errs8 = errors;
if(typeof data4 !== "boolean"){
validate30.errors = [{instancePath:instancePath+"/reply",schemaPath:"#/properties/reply/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema38.properties.reply.type,parentSchema:schema38.properties.reply,data:data4}];
return false;
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate30.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema38.type,parentSchema:schema38,data}];
return false;
}
}
validate30.errors = vErrors;
return errors === 0;
}
validate30.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "ping"){
if(!(validate21(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var props0 = true;
}
else if(tag0 === "ack"){
if(!(validate26(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate26.errors : vErrors.concat(validate26.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "relay"){
const _errs5 = errors;
if(errors === _errs5){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing1;
if((((data.type === undefined) && (missing1 = "type")) || ((data.probe === undefined) && (missing1 = "probe"))) || ((data.subject === undefined) && (missing1 = "subject"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Relay/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema39.required,parentSchema:schema39,data}];
return false;
}
else {
const _errs7 = errors;
for(const key0 in data){
if(!(((key0 === "type") || (key0 === "probe")) || (key0 === "subject"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Relay/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema39,data}];
return false;
break;
}
}
if(_errs7 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs8 = errors;
if("relay" !== data0){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Relay/properties/type/const",keyword:"const",params:{allowedValue: "relay"},message:"must be equal to constant",schema:"relay",parentSchema:schema39.properties.type,data:data0}];
return false;
}
var valid5 = _errs8 === errors;
}
else {
var valid5 = true;
}
if(valid5){
if(data.probe !== undefined){
let data1 = data.probe;
const _errs9 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate20.errors = [{instancePath:instancePath+"/probe",schemaPath:"#/$defs/Relay/properties/probe/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.properties.probe.type,parentSchema:schema39.properties.probe,data:data1}];
return false;
}
if(errors === _errs9){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate20.errors = [{instancePath:instancePath+"/probe",schemaPath:"#/$defs/Relay/properties/probe/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema39.properties.probe,data:data1}];
return false;
}
}
}
var valid5 = _errs9 === errors;
}
else {
var valid5 = true;
}
if(valid5){
if(data.subject !== undefined){
let data2 = data.subject;
const _errs11 = errors;
if(errors === _errs11){
if(typeof data2 === "string"){
if(data2.length > 64){
validate20.errors = [{instancePath:instancePath+"/subject",schemaPath:"#/$defs/Relay/properties/subject/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema39.properties.subject,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate20.errors = [{instancePath:instancePath+"/subject",schemaPath:"#/$defs/Relay/properties/subject/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema39.properties.subject,data:data2}];
return false;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/subject",schemaPath:"#/$defs/Relay/properties/subject/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema39.properties.subject.type,parentSchema:schema39.properties.subject,data:data2}];
return false;
}
}
var valid5 = _errs11 === errors;
}
else {
var valid5 = true;
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/Relay/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema39.type,parentSchema:schema39,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "vouch"){
const _errs14 = errors;
if(errors === _errs14){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing2;
if(((data.type === undefined) && (missing2 = "type")) || ((data.probe === undefined) && (missing2 = "probe"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Vouch/required",keyword:"required",params:{missingProperty: missing2},message:"must have required property '"+missing2+"'",schema:schema40.required,parentSchema:schema40,data}];
return false;
}
else {
const _errs16 = errors;
for(const key1 in data){
if(!((key1 === "type") || (key1 === "probe"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Vouch/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema40,data}];
return false;
break;
}
}
if(_errs16 === errors){
if(data.type !== undefined){
let data3 = data.type;
const _errs17 = errors;
if("vouch" !== data3){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Vouch/properties/type/const",keyword:"const",params:{allowedValue: "vouch"},message:"must be equal to constant",schema:"vouch",parentSchema:schema40.properties.type,data:data3}];
return false;
}
var valid8 = _errs17 === errors;
}
else {
var valid8 = true;
}
if(valid8){
if(data.probe !== undefined){
let data4 = data.probe;
const _errs18 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate20.errors = [{instancePath:instancePath+"/probe",schemaPath:"#/$defs/Vouch/properties/probe/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema40.properties.probe.type,parentSchema:schema40.properties.probe,data:data4}];
return false;
}
if(errors === _errs18){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate20.errors = [{instancePath:instancePath+"/probe",schemaPath:"#/$defs/Vouch/properties/probe/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema40.properties.probe,data:data4}];
return false;
}
}
}
var valid8 = _errs18 === errors;
}
else {
var valid8 = true;
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/Vouch/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema40.type,parentSchema:schema40,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "news"){
if(!(validate28(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate28.errors : vErrors.concat(validate28.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "compare"){
const _errs22 = errors;
if(errors === _errs22){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing3;
if(((data.type === undefined) && (missing3 = "type")) || ((data.hashes === undefined) && (missing3 = "hashes"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/MemberCompare/required",keyword:"required",params:{missingProperty: missing3},message:"must have required property '"+missing3+"'",schema:schema41.required,parentSchema:schema41,data}];
return false;
}
else {
const _errs24 = errors;
for(const key2 in data){
if(!(((key2 === "type") || (key2 === "group")) || (key2 === "hashes"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/MemberCompare/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key2},message:"must NOT have additional properties",schema:false,parentSchema:schema41,data}];
return false;
break;
}
}
if(_errs24 === errors){
if(data.type !== undefined){
let data5 = data.type;
const _errs25 = errors;
if("compare" !== data5){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/MemberCompare/properties/type/const",keyword:"const",params:{allowedValue: "compare"},message:"must be equal to constant",schema:"compare",parentSchema:schema41.properties.type,data:data5}];
return false;
}
var valid12 = _errs25 === errors;
}
else {
var valid12 = true;
}
if(valid12){
if(data.group !== undefined){
let data6 = data.group;
const _errs26 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate20.errors = [{instancePath:instancePath+"/group",schemaPath:"#/$defs/MemberCompare/properties/group/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.properties.group.type,parentSchema:schema41.properties.group,data:data6}];
return false;
}
if(errors === _errs26){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 > 15 || isNaN(data6)){
validate20.errors = [{instancePath:instancePath+"/group",schemaPath:"#/$defs/MemberCompare/properties/group/maximum",keyword:"maximum",params:{comparison: "<=", limit: 15},message:"must be <= 15",schema:15,parentSchema:schema41.properties.group,data:data6}];
return false;
}
else {
if(data6 < 0 || isNaN(data6)){
validate20.errors = [{instancePath:instancePath+"/group",schemaPath:"#/$defs/MemberCompare/properties/group/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41.properties.group,data:data6}];
return false;
}
}
}
}
var valid12 = _errs26 === errors;
}
else {
var valid12 = true;
}
if(valid12){
if(data.hashes !== undefined){
let data7 = data.hashes;
const _errs28 = errors;
if(errors === _errs28){
if(Array.isArray(data7)){
if(data7.length > 32){
validate20.errors = [{instancePath:instancePath+"/hashes",schemaPath:"#/$defs/MemberCompare/properties/hashes/maxItems",keyword:"maxItems",params:{limit: 32},message:"must NOT have more than 32 items",schema:32,parentSchema:schema41.properties.hashes,data:data7}];
return false;
}
else {
var valid13 = true;
const len0 = data7.length;
for(let i0=0; i0<len0; i0++){
let data8 = data7[i0];
const _errs30 = errors;
if(errors === _errs30){
if(typeof data8 === "string"){
if(data8.length > 8){
validate20.errors = [{instancePath:instancePath+"/hashes/" + i0,schemaPath:"#/$defs/MemberCompare/properties/hashes/items/maxLength",keyword:"maxLength",params:{limit: 8},message:"must NOT have more than 8 characters",schema:8,parentSchema:schema41.properties.hashes.items,data:data8}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/hashes/" + i0,schemaPath:"#/$defs/MemberCompare/properties/hashes/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema41.properties.hashes.items.type,parentSchema:schema41.properties.hashes.items,data:data8}];
return false;
}
}
var valid13 = _errs30 === errors;
if(!valid13){
break;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/hashes",schemaPath:"#/$defs/MemberCompare/properties/hashes/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema41.properties.hashes.type,parentSchema:schema41.properties.hashes,data:data7}];
return false;
}
}
var valid12 = _errs28 === errors;
}
else {
var valid12 = true;
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/MemberCompare/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema41.type,parentSchema:schema41,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "entries"){
if(!(validate30(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate30.errors : vErrors.concat(validate30.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate20.evaluated = {"dynamicProps":true,"dynamicItems":false};

